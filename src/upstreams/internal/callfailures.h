#pragma once

#include "http/httptypes.h"
#include "upstreams/upstreamtypes.h"

namespace rosemaryshift::upstreams {

/// Converts a failure of the HTTP client into the result of an attempt. Thread-safe.
AttemptResult resultOf(const http::ClientFailure &failure);
/// The result of an attempt that the upstream declined without running it; nothing when @p response is no such refusal. Thread-safe.
std::optional<AttemptResult> declinedResult(const http::Response &response);
/// True when @p response echoes the name of the attempt. Thread-safe.
bool echoesAttempt(const http::Response &response, const AttemptSpec &spec);
/// Converts the timeouts of an attempt into those of the HTTP client. Thread-safe.
http::ClientTimeouts clientTimeouts(const AttemptTimeouts &timeouts);

}
