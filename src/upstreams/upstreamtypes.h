#pragma once

#include "base/types.h"
#include "decisions/decisiontypes.h"
#include "http/httptypes.h"

#include <chrono>
#include <optional>
#include <string>

namespace rosemaryshift::upstreams {

/// Header with the name of an attempt, which an upstream must echo in its response.
constexpr std::string_view AttemptHeader = "X-Request-Id";
/// Response header that states whether the upstream ran a request that it declined.
constexpr std::string_view RunHeader = "Rosemaryshift-Run";
/// Response header of an upstream that declines because it shuts down: milliseconds until it is gone.
constexpr std::string_view LeavingHeader = "Rosemaryshift-Leaving-Ms";

/// Timeouts of one attempt.
struct AttemptTimeouts {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds firstByte{10'000};
    std::chrono::milliseconds progress{5'000}; ///< Between two reads of the answer's body.
};

/// One attempt at one upstream.
struct AttemptSpec {
    AttemptId attempt{};
    std::string attemptName; ///< Unique across all hosts; sent in AttemptHeader and echoed by the upstream.
    http::Endpoint endpoint;
    AttemptTimeouts timeouts;
};

/// How an attempt ended, and why.
struct AttemptResult {
    decisions::AttemptOutcome outcome = decisions::AttemptOutcome::Completed;
    std::string reason;
    std::optional<std::chrono::milliseconds> leavesIn = {}; ///< Time until the upstream shuts down; set when it announced that.
    bool connectionLost = false;                            ///< The upstream closed the connection before the end of its answer.
};

}
