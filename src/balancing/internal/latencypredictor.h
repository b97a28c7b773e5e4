#pragma once

#include "balancing/internal/latencymodel.h"
#include "balancing/upstreamspeeds.h"
#include "ports/messages.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace rosemaryshift::balancing {

/// What an upstream has stated of its load, and how many requests of this host it had then.
struct LoadStatement {
    std::uint32_t requests = 0; ///< Running and waiting.
    std::uint32_t own = 0;
    TimePoint at;
};

/// Expects times of requests at engines whose speeds the hosts measure together: what an average engine of the service takes, by the engine's slowness.
/// All times are in milliseconds. Not thread-safe.
class LatencyPredictor
{
public:
    /// Where a request goes, or may go.
    struct Place {
        std::string_view service;
        std::string_view instance;
        std::uint32_t slots = 1; ///< Requests that the upstream processes concurrently.
    };
    struct Prediction {
        double firstEvent = 0;
        double costToOthers = 0; ///< By which the request delays the first events of later ones, there or as it takes the place at a fast upstream.
        bool queued = false;     ///< Whether the request is expected to wait until another one has ended.
    };

    [[nodiscard]] Prediction predict(const Place &place, const PrefillWork &work, TimePoint now) const;
    /// Records that @p instance was chosen for a request, out of upstreams with the mean speed @p comparedSpeed.
    void noteChoice(std::string_view service, std::string_view instance, double comparedSpeed, TimePoint now);
    /// Adds a sample of the time to a first event; only its upstream's speed is learnt from requests that were not @p queued.
    void addFirstEvent(const Place &place, const PrefillWork &work, double took, TimePoint now);
    /// Adds the mean time of @p gaps between the events of a stream, beside @p running requests.
    void addGaps(const Place &place, std::uint32_t running, std::uint32_t gaps, double mean, TimePoint now);
    /// Adds a sample of the time from a first event to the end of a request.
    void addRemainder(std::string_view service, double took);
    /// Records what an upstream states while @p own requests of this host run there.
    void noteStatement(std::string_view instance, const ports::StatedLoad &load, std::uint32_t own, TimePoint now);
    /// The requests at an upstream as it has stated them, with those since then of this host, which has @p own there now; nothing when the last statement is
    /// not recent.
    [[nodiscard]] std::optional<std::uint32_t> statedRequests(std::string_view instance, std::uint32_t own, TimePoint now) const;
    /// Speed of an upstream, in units of the upstream that serves the average request of this host.
    [[nodiscard]] double speed(std::string_view service, std::string_view instance, TimePoint now) const;
    void forgetUpstream(std::string_view instance, TimePoint now);
    [[nodiscard]] UpstreamSpeeds &speeds();

private:
    struct Service {
        LatencyModel model;
        double meanLogSlowness = 0; ///< Of the upstreams that serve this host's requests.
        double meanSpeed = 1;       ///< Of the upstreams that are compared.
        double meanFirstEvent = 0;  ///< Expected at an average upstream.
        double placeCost = 0;       ///< Cost of a place at an upstream of speed 1, in units of meanFirstEvent; it is proportional to the speed.
    };

    [[nodiscard]] const Service &find(std::string_view service) const;
    Service &at(std::string_view service);
    /// Slowness relative to the upstreams that serve this host's requests.
    [[nodiscard]] double relativeSlowness(const Service &service, std::string_view instance, TimePoint now) const;

    UpstreamSpeeds m_speeds;
    std::map<std::string, Service, std::less<>> m_services;
    std::unordered_map<std::string, LoadStatement> m_statements; ///< By upstream.
};

}
