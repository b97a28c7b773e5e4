#pragma once

#include "base/types.h"
#include "ports/idutyclient.h"
#include "routing/routingtypes.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::duties {

/// Upstreams of a service that serve in one availability zone.
struct ZoneReplicas {
    std::uint32_t permanent = 0;
    std::uint32_t reclaimable = 0;
};

/// What a plan for one service goes by.
struct ServiceLoad {
    std::map<std::string, ZoneReplicas> zones; ///< All availability zones in which the service may run.
    double busyUpstreams = 0;                  ///< Upstreams that the work of all hosts would keep busy all the time.
    bool measured = false;                     ///< Whether that was measured: callers have come.
};

/// Orders upstreams by the load: permanent ones for what must go on when all reclaimable ones are taken at once, reclaimable ones, which are
/// cheaper, for the head room that short waits need. Time comes in with each call. Not thread-safe.
class UpstreamPlanner
{
public:
    /// Takes note of the load. A host does so whether it holds the duty or not, so that it can plan at once when it takes it over.
    void observe(const routing::Service &service, const ServiceLoad &load, TimePoint now);
    /// The orders to give now, for what differs from the orders given before. Precondition: the load was observed.
    [[nodiscard]] std::vector<ports::UpstreamOrder> plan(const routing::Service &service, const ServiceLoad &load, TimePoint now);
    /// The platform had none of these to give.
    void noteUnavailable(const ports::UpstreamOrder &order, TimePoint now);
    /// Takes the duty over from another host: nothing is known of its orders, and no less is ordered for some time, since a change of the
    /// holder tells of trouble in which fewer callers come through.
    void takeOver(TimePoint now);

private:
    struct Key {
        std::string service;
        std::string zone;
        bool reclaimable = false;

        auto operator<=>(const Key &) const = default;
    };
    struct Ordered {
        std::uint32_t replicas = 0;
        TimePoint at;
    };

    /// Upstreams of a service before callers come.
    struct Standing {
        std::uint32_t replicas = 0; ///< In all zones together.
        TimePoint since;
        std::map<std::string, std::uint32_t> settled; ///< By zone, once their number has stayed the same for some time.
    };

    /// Upstreams of both kinds that the load asks for, as far as they are to be had.
    [[nodiscard]] std::map<std::string, ZoneReplicas> wantedReplicas(const routing::Service &service, const ServiceLoad &load, TimePoint now);
    /// Adds an order unless it stands already.
    void addOrder(const ports::UpstreamOrder &order, std::uint32_t there, TimePoint now, std::vector<ports::UpstreamOrder> &orders);
    /// What was ordered last; 0 when nothing was.
    [[nodiscard]] std::uint32_t ordered(const Key &key) const;
    /// Takes note of the upstreams that stand there before callers come.
    void noteStanding(const std::string &service, const ServiceLoad &load, TimePoint now);
    /// Whether their number has stayed the same for some time.
    [[nodiscard]] bool settled(const std::string &service) const;
    [[nodiscard]] double peakLoad(const std::string &service) const;
    /// Whether the load is known for long enough to order less than what stands there.
    [[nodiscard]] bool mayShrink(const std::string &service, TimePoint now) const;

    std::map<Key, Ordered> m_orders;
    std::map<Key, TimePoint> m_unavailable;
    std::map<std::string, std::deque<std::pair<TimePoint, double>>> m_loads;
    std::map<std::string, Standing> m_standing;
    std::optional<TimePoint> m_tookOver;
    std::map<std::string, TimePoint> m_firstLoads; ///< When a service's load was known first.
};

}
