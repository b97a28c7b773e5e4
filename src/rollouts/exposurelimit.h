#pragma once

#include <cstdint>

namespace rosemaryshift::rollouts {

/// Which part of the bound a request may use.
enum class ExposureUse : std::uint8_t {
    Trickle,    ///< Any request.
    Moving,     ///< A stream that would be lost with its upstream, shortly before the outcome.
    Completing, ///< A request whose other upstreams are gone when the outcome is due, which this host may not have heard yet.
};

/// This host's part of the bound on the exposure of a version: a share of the requests that it has sent to the service itself, and a part of the slack.
/// The sum over all hosts keeps the bound whatever the hosts hear of each other. What the hosts expose before the outcome is little more than half of the
/// share; the rest is for the time between the outcome and the end of the order. Not thread-safe.
class ExposureLimit
{
public:
    /// Part of the share that may be used before the outcome is decided.
    static constexpr double UndecidedPart = 0.55;
    /// Part of the order's duration, as a multiple of the share, that is left when a roll-out is completed.
    static constexpr double CompletedPart = 0.4;
    /// Part of the share that any request may use, as opposed to those that would be lost with their upstream.
    static constexpr double TricklePart = 0.25;

    /// @p share: of the requests; @p slackPart: this host's part of the slack, in requests. @p start: between 0 and 1, differs among the hosts, so that they do
    /// not all expose their first request at the same time.
    ExposureLimit(double share, double slackPart, double start);

    /// Counts a request that was sent to the service.
    void noteRequest();
    /// Counts a request that is sent to the version.
    void noteExposed();
    /// Whether one more request may be sent to the version.
    [[nodiscard]] bool allows(ExposureUse use) const;
    [[nodiscard]] std::uint64_t requests() const;
    [[nodiscard]] std::uint64_t exposed() const;

private:
    const double m_share;
    const double m_slackPart;
    const double m_start;
    std::uint64_t m_requests = 0;
    std::uint64_t m_exposed = 0;
};

}
