#pragma once

#include "http/httptypes.h"

namespace rosemaryshift::gateway {

/// The fields of @p headers that concern more than one connection (RFC 9110, 7.6.1), without the body's framing, which is set anew.
http::Headers forwardable(const http::Headers &headers);

}
