#pragma once

#include "http/httptypes.h"
#include "upstreams/upstreamtypes.h"

namespace rosemaryshift::upstreams {

/// Turns a failure of the HTTP client into the end of an attempt. Thread-safe.
AttemptResult resultOf(const http::ClientFailure &failure);
/// The end of an attempt whose upstream declined it before running; nothing when the answer is none. Thread-safe.
std::optional<AttemptResult> declined(const http::Response &response);
/// True when the answer names the attempt that was asked. Thread-safe.
bool echoes(const http::Response &response, const AttemptSpec &spec);
/// Timeouts of the HTTP client for one attempt. Thread-safe.
http::ClientTimeouts clientTimeouts(const AttemptTimeouts &timeouts);

}
