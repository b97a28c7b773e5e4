#pragma once

#include "http/httptypes.h"

#include <string_view>

namespace rosemaryshift::gateway {

/// Header of a request that a peer forwards: the token of the receiving process, which only its peers know.
inline constexpr std::string_view PeerTokenHeader = "Peer-Token";
/// Header of the answer to a forwarded request. Without it, the receiver did not accept the request.
inline constexpr std::string_view PeerAnswerHeader = "Peer-Answer";

/// @p headers without the fields named @p name. Thread-safe.
http::Headers withoutHeader(const http::Headers &headers, std::string_view name);

}
