#pragma once

#include "overload/loopdelay.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace rosemaryshift::overload {

/// Why a request is not admitted.
enum class RejectionReason : std::uint8_t {
    DeadlinePassed, ///< The caller's deadline passed while the request waited for this host.
    HostOverloaded, ///< The host admits only a share of the requests.
};

/// Name of @p reason in log lines and answers. Thread-safe.
std::string_view name(RejectionReason reason);

/// Rejection of a request.
struct Rejection {
    RejectionReason reason = RejectionReason::HostOverloaded;
    std::optional<Duration> retryAfter; ///< Time after which a retry may be admitted; nothing when it would be in vain.
};

/// Change of the host's state.
enum class OverloadChange : std::uint8_t {
    Begun,
    Ended,
};

/// What the host knew when its state changed.
struct OverloadReport {
    OverloadChange change = OverloadChange::Begun;
    Duration lateness{0};       ///< Lateness of the event loop.
    Duration lasted{0};         ///< Length of the overload; zero when it begins.
    std::size_t waiting = 0;    ///< Admitted requests without the beginning of an answer.
    std::uint64_t rejected = 0; ///< Requests rejected during the overload.
};

/// Admits as many requests as an overloaded host can serve. The host is overloaded when the queue of its event loop has not been empty for an interval and
/// the mean lateness is above a target, so that a single delay, as by a long handler or at the end of a processor quota, has no effect. It then limits the
/// number of admitted requests that wait for the beginning of their answer. The limit decreases multiplicatively while the host is late, and increases
/// additively otherwise, until no request is rejected any more. All kinds of requests are treated alike. The current time is passed to each call that
/// depends on it. Not thread-safe.
class AdmissionControl
{
public:
    /// Called when an overload begins and when it has ended.
    using Listener = std::function<void(const OverloadReport &report)>;

    explicit AdmissionControl(Listener listener);

    /// Adapts the limit to a measurement of the event loop. Precondition: called several times a second, and at shorter intervals while
    /// needsFrequentDelays().
    void noteDelay(const DelaySample &sample, TimePoint now);
    /// Whether the queue of the event loop is not empty, or the number of requests is limited.
    [[nodiscard]] bool needsFrequentDelays() const;
    /// Returns why a request is not admitted; nothing when it is, and then noteAnswering() has to follow. @p timeLeft: until the caller's deadline.
    [[nodiscard]] std::optional<Rejection> admit(Duration timeLeft, TimePoint now);
    /// Records that the answer to an admitted request begins, or that the request has ended without one.
    void noteAnswering();
    /// Share of the latest requests that were admitted.
    [[nodiscard]] double admittedShare() const;

private:
    void restartMean(TimePoint now);
    void decreaseLimit(Duration lateness, TimePoint now);
    void increaseLimit(Duration elapsed, Duration lateness, TimePoint now);
    [[nodiscard]] Rejection reject(RejectionReason reason, TimePoint now);

    const Listener m_listener;
    double m_limit = 0;                         ///< Largest number of waiting requests, while the host is overloaded.
    std::size_t m_waiting = 0;                  ///< Admitted requests without the beginning of an answer.
    std::size_t m_mostWaiting = 0;              ///< Largest number of them since m_filledSince.
    double m_admittedShare = 1;                 ///< Moving average.
    std::optional<TimePoint> m_overloadedSince; ///< Nothing while all requests are admitted.
    std::optional<TimePoint> m_filledSince;     ///< Since when the queue was not found empty, or the limit last changed; nothing when it is empty.
    double m_weight = 0;                        ///< Sum of the latenesses since then, in seconds.
    double m_weightedLateness = 0;              ///< Sum of their squares.
    std::optional<TimePoint> m_lastNoted;
    TimePoint m_lastRejected;
    std::uint64_t m_rejected = 0;
};

}
