#pragma once

#include "secondtries/secondtrysettings.h"
#include "secondtries/timesseen.h"

#include <optional>

namespace rosemaryshift::secondtries {

/// Why no second try is sent.
enum class NotSentReason : std::uint8_t {
    NotRepeatable,  ///< The request may not be repeated, or its answer has begun.
    NoDistribution, ///< Too few times of such requests were seen over the last seconds.
    NoAttempts,     ///< The route allows no further upstream for the request.
    ShareUsed,      ///< The settings allow no further second try now.
    NoRetryBudget,  ///< The retry budget keeps what is left for requests that have failed.
    NoUpstream,     ///< No other upstream may be sent the request.
    NoRoom,         ///< The other upstream is not expected to answer before the first one does, or within the time left.
    Quarantined,    ///< Such requests are suspected to crash upstreams.
    Stopping,       ///< The process is about to exit.
};

/// Name of @p reason in log lines and metrics. Thread-safe.
std::string_view name(NotSentReason reason);

/// A request whose first try is slow.
struct SlowTry {
    bool repeatable = false;          ///< The request may be executed more than once, and its answer has not begun.
    bool attemptsLeft = false;        ///< The route allows a further upstream.
    bool retryBudgetLeft = false;     ///< The retry budget holds more than it keeps for requests that have failed.
    Duration waited{0};               ///< Since the first try was sent.
    Duration timeLeft{0};             ///< Until the deadline.
    std::optional<Duration> expected; ///< Expected time to the answer of the best other upstream; nothing when there is none.
};

/// Decides when a request that may be repeated is sent to a second upstream beside the first one (hedged requests; Dean and Barroso, The Tail at Scale,
/// 2013).
///
/// Each host keeps the second tries within the share by its own requests, so that the sum over all hosts keeps it without coordination. The current time is
/// passed to each call. Not thread-safe.
class SecondTryPolicy
{
public:
    explicit SecondTryPolicy(SecondTrySettings settings);

    /// Whether the settings allow second tries.
    [[nodiscard]] bool enabled() const;
    /// Counts a request that may be repeated, which allows a share of a second try.
    void noteRequest();
    /// Records that the answer to a request of @p requests began after @p time.
    void noteAnswer(const RequestClass &requests, Duration time, TimePoint now);
    /// Records that the first try of a request of @p requests was left without an answer after @p time, as the second one was faster.
    void noteLeft(const RequestClass &requests, Duration time, TimePoint now);
    /// Time after which a second try of a request of @p requests is considered; nothing when too few times were seen.
    [[nodiscard]] std::optional<Duration> delay(const RequestClass &requests, TimePoint now);
    /// Why @p slow, a request of @p requests, is not to be sent to a second upstream now; nothing when it is.
    [[nodiscard]] std::optional<NotSentReason> refusal(const RequestClass &requests, const SlowTry &slow, TimePoint now);
    /// Counts a second try against the share. Precondition: refusal() returned nothing.
    void noteSecondTry();
    /// Pools the times seen with the other hosts.
    [[nodiscard]] TimesSeen &times();

private:
    /// Whether @p counts suffice for the quantile.
    [[nodiscard]] bool suffices(const TimeCounts &counts) const;

    const SecondTrySettings m_settings;
    TimesSeen m_times;
    double m_credit = 0; ///< Second tries that the share allows now.
};

}
