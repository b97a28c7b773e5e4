#pragma once

#include "base/types.h"
#include "decisions/decisiontypes.h"
#include "http/httptypes.h"

#include <chrono>
#include <optional>
#include <string>

namespace rosemaryshift::upstreams {

/// Header in which an upstream gets and echoes the id of an attempt.
constexpr std::string_view AttemptHeader = "X-Request-Id";
/// Header by which an upstream says that it did not run a request it declined.
constexpr std::string_view RunHeader = "Rosemaryshift-Run";

/// Header by which an upstream that declines says that it is leaving, with the milliseconds until it is gone.
constexpr std::string_view LeavingHeader = "Rosemaryshift-Leaving-Ms";

struct AttemptTimeouts {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds firstByte{10'000};
    std::chrono::milliseconds progress{5'000}; ///< Between two pieces of an answer.
};

/// One attempt at one upstream.
struct AttemptSpec {
    AttemptId attempt{};
    std::string attemptName; ///< Unique over all hosts; the upstream echoes it.
    http::Endpoint endpoint;
    AttemptTimeouts timeouts;
};

/// How an attempt ended, with the last reason.
struct AttemptResult {
    decisions::AttemptOutcome outcome = decisions::AttemptOutcome::Completed;
    std::string reason;
    std::optional<std::chrono::milliseconds> leavesIn = {}; ///< Set when the upstream said that it is leaving.
};

}
