#pragma once

#include "http/httptypes.h"

#include <functional>
#include <string_view>

namespace rosemaryshift::gateway {

/// Whether a field reaches the upstream even if the Connection header names it.
using EndToEndPredicate = std::function<bool(std::string_view name)>;

/// The end-to-end fields of @p headers, which a proxy forwards: all but the hop-by-hop fields (RFC 9110, 7.6.1), those that frame the body, which
/// are set anew, and Expect. Thread-safe.
http::Headers endToEndHeaders(const http::Headers &headers);
/// The same, but keeps the fields that the Connection header names and for which @p isEndToEnd holds.
http::Headers endToEndHeaders(const http::Headers &headers, const EndToEndPredicate &isEndToEnd);

}
