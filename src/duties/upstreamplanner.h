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

/// Number of upstreams of a service that are running in one availability zone, by kind.
struct ZoneReplicas {
    std::uint32_t permanent = 0;
    std::uint32_t reclaimable = 0; ///< The platform may take these away at short notice.
    bool reclaimAnnounced = false; ///< The platform has announced that it takes reclaimable ones away. Set in ServiceLoad only.
};

/// Input for planning the upstreams of one service.
struct ServiceLoad {
    std::map<std::string, ZoneReplicas> zones; ///< All availability zones in which the service may run.
    double busyUpstreams = 0;                  ///< Load of all hosts together, as the number of upstreams that it would keep busy without a break.
    bool measured = false;                     ///< Whether busyUpstreams was measured, which takes requests of callers.
    bool keepsHeadroom = false; ///< Requests of the service that wait too long are lost for good, so that headroom is kept without reclaimable upstreams too.
};

/// Decides how many upstreams to order for the current load. Permanent upstreams cover the load that must still be served when all reclaimable
/// ones are taken away at once. Reclaimable upstreams are cheaper and provide the headroom that keeps waiting times short. Each call passes the
/// current time. Not thread-safe.
class UpstreamPlanner
{
public:
    /// Records the load of @p service at @p now. A host calls this whether or not it holds the duty, so that it can plan as soon as it takes the
    /// duty over.
    void observe(const routing::Service &service, const ServiceLoad &load, TimePoint now);
    /// The orders to place at @p now: those that differ from the last ones, and those that have had no effect for some time. Precondition:
    /// observe() was called with @p load.
    [[nodiscard]] std::vector<ports::ScalingTarget> plan(const routing::Service &service, const ServiceLoad &load, TimePoint now);
    /// Notes that the platform had no upstreams to give for @p order.
    void noteUnavailable(const ports::ScalingTarget &order, TimePoint now);
    /// Notes that this host took the duty over from another one, whose orders are unknown. Upstreams are not scaled down for some time, since a
    /// change of the holder points to a failure during which fewer requests may get through.
    void takeOver(TimePoint now);

private:
    /// What an order applies to: the upstreams of one kind of a service in one availability zone.
    struct Key {
        std::string service;
        std::string zone;
        bool reclaimable = false;

        auto operator<=>(const Key &) const = default;
    };
    /// The last order for a key.
    struct LastOrder {
        std::uint32_t replicas = 0;
        TimePoint at;
    };

    /// Upstreams of a service before its load is measured.
    struct InitialReplicas {
        std::uint32_t replicas = 0;                        ///< In all zones together.
        TimePoint since;                                   ///< When the number last changed.
        std::map<std::string, std::uint32_t> stableByZone; ///< By zone; empty until their number is stable.
    };

    /// Upstreams of each kind that the load requires, by availability zone, as far as the platform has them to give.
    [[nodiscard]] std::map<std::string, ZoneReplicas> wantedReplicas(const routing::Service &service, const ServiceLoad &load, TimePoint now);
    /// Adds @p order to @p orders if it differs from the last one for the same key, or if that one has had no effect on the @p current number of
    /// upstreams for some time.
    void addOrder(const ports::ScalingTarget &order, std::uint32_t current, TimePoint now, std::vector<ports::ScalingTarget> &orders);
    /// Number of replicas ordered last; 0 when none was ordered.
    [[nodiscard]] std::uint32_t lastOrderedReplicas(const Key &key) const;
    /// Records the upstreams that are running before the load of @p service is measured.
    void observeInitialReplicas(const std::string &service, const ServiceLoad &load, TimePoint now);
    /// Whether the number of initial upstreams has stayed the same for some time.
    [[nodiscard]] bool initialReplicasStable(const std::string &service) const;
    /// Highest recent load of @p service, in busy upstreams.
    [[nodiscard]] double peakLoad(const std::string &service) const;
    /// Whether enough time has passed, since the load was first measured and since a takeover, to order fewer upstreams than are running.
    [[nodiscard]] bool mayScaleDown(const std::string &service, TimePoint now) const;

    std::map<Key, LastOrder> m_orders;
    std::map<Key, TimePoint> m_unavailable;                                        ///< When the platform last had none to give.
    std::map<std::string, std::deque<std::pair<TimePoint, double>>> m_recentLoads; ///< Busy upstreams within the peak window, by service.
    std::map<std::string, InitialReplicas> m_initialReplicas;                      ///< By service.
    std::optional<TimePoint> m_takeoverTime;
    std::map<std::string, TimePoint> m_firstLoadTimes; ///< When the load was first measured, by service.
};

}
