#include "upstreams/internal/callfailures.h"

#include "base/text.h"

#include <algorithm>

#include "base/text.h"

namespace rosemaryshift::upstreams {

using decisions::AttemptOutcome;

namespace {

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
/// Upper bound on the announced time until an upstream shuts down.
constexpr std::uint64_t MaxLeavingMs = 24ULL * 3600 * 1000;

AttemptOutcome outcomeOf(http::ClientError error)
{
    switch (error) {
    case http::ClientError::ConnectFailed:
    case http::ClientError::Withdrawn:
        return AttemptOutcome::NotOffered;
    case http::ClientError::TimedOut:
        return AttemptOutcome::Silent;
    case http::ClientError::Cancelled:
        return AttemptOutcome::Cancelled;
    case http::ClientError::SendFailed:
    case http::ClientError::Closed:
    case http::ClientError::Malformed:
        return AttemptOutcome::Broken;
    }
    return AttemptOutcome::Broken;
}

}

AttemptResult resultOf(const http::ClientFailure &failure)
{
    AttemptResult result{outcomeOf(failure.error), failure.detail};
    result.connectionLost = failure.error == http::ClientError::Closed;
    return result;
}

std::optional<AttemptResult> declinedResult(const http::Response &response)
{
    const bool busy = response.status == TooManyRequests || response.status == ServiceUnavailable;
    if (!busy || response.headers.find(RunHeader) != name(RunState::NotRun)) {
        return std::nullopt;
    }
    AttemptResult result{AttemptOutcome::Declined, "the upstream answered " + std::to_string(response.status) + " and did not run it"};
    const std::optional<std::uint64_t> leavesIn = parseUnsigned(response.headers.find(LeavingHeader).value_or(""));
    if (leavesIn) {
        result.leavesIn = std::chrono::milliseconds(std::min(*leavesIn, MaxLeavingMs));
    }
    return result;
}

bool echoesAttempt(const http::Response &response, const AttemptSpec &spec)
{
    return response.headers.find(AttemptHeader) == spec.attemptName;
}

http::ClientTimeouts clientTimeouts(const AttemptTimeouts &timeouts)
{
    return {timeouts.connect, timeouts.firstByte, timeouts.progress};
}

}
