#pragma once

#include <string_view>

namespace rosemaryshift::rpc {

constexpr std::string_view StampHeader = "Rosemaryshift-Stamp";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view RpcPath = "/rpc";

}
