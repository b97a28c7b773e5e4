#pragma once

#include "http/httptypes.h"

#include <string_view>

namespace rosemaryshift::gateway {

/// Header of a request that a peer forwards: the token of the receiving process, which only its peers know.
inline constexpr std::string_view PeerTokenHeader = "Peer-Token";
/// Header of the answer to a forwarded request that the receiver has accepted.
inline constexpr std::string_view PeerAnswerHeader = "Peer-Answer";

/// Whether @p answer, to a forwarded request, says that the receiver has not accepted it, so that it has not run. Thread-safe.
bool declines(const http::Response &answer);

/// @p headers without the fields named @p name. Thread-safe.
http::Headers withoutHeader(const http::Headers &headers, std::string_view name);

}
