#pragma once

#include <string_view>

namespace rosemaryshift::rpc {

/// Header with a stamp of the sender's hybrid logical clock.
constexpr std::string_view StampHeader = "Rosemaryshift-Stamp";
constexpr std::string_view BearerPrefix = "Bearer ";
/// Path at which a host serves the calls of other hosts.
constexpr std::string_view RpcPath = "/rpc";

}
