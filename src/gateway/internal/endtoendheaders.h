#pragma once

#include "http/httptypes.h"

namespace rosemaryshift::gateway {

/// The end-to-end fields of @p headers, which a proxy forwards: all but the hop-by-hop fields (RFC 9110, 7.6.1), those that frame the body, which
/// are set anew, and Expect.
http::Headers endToEndHeaders(const http::Headers &headers);

}
