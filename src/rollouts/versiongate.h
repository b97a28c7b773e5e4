#pragma once

#include "gossip/istatuschannel.h"
#include "rollouts/rollout.h"

#include <functional>
#include <map>
#include <set>

namespace rosemaryshift::rollouts {

/// Decides for each request of this host which software versions may run it, and tells the other hosts what is seen of versions that are rolled out. A version
/// that appears beside others is held back until it is certain that no order has come for it, for a short time at most. Each call passes the current time.
/// Not thread-safe.
class VersionGate : public gossip::IStatusChannel
{
public:
    /// Called with a roll-out and its @p change: "ordered", "stopped", "running", "complete", "rolled_back", "settled" or "replaced".
    using Listener = std::function<void(const Rollout &rollout, std::string_view change)>;

    /// @p orderDelay: time in which an operator's order reaches all hosts. @p random: a random number in [0, 1).
    VersionGate(const ExposureBounds &bounds, Duration orderDelay, double random, Listener listener);

    /// Whether orders are followed.
    [[nodiscard]] bool enabled() const;
    /// Sets the number of hosts, this one included, among which the slack is split for later orders.
    void setHostCount(std::size_t hosts);

    /// Applies an order. @p age: time since it was given; nothing when it is not known, as for one that was found at the start of this process.
    void applyOrder(OrderId id, const Order &order, std::optional<Duration> age, TimePoint now);
    /// Applies what the log records of a roll-out. @p sinceEpoch: the time of the wall clock.
    void applyRecord(const StateRecord &record, Duration sinceEpoch, TimePoint now);
    /// Notes that the orders were read from the log, as they were at @p at.
    void noteOrdersRead(TimePoint at);

    /// Notes that @p instance of @p service is listed with @p version.
    void noteListed(const std::string &instance, const std::string &service, const std::string &version, TimePoint now);
    /// Notes that @p instance is not listed any more.
    void noteRemoved(const std::string &instance);
    /// Notes the upstreams of all services that have a roll-out, and compares versions by what all hosts have seen.
    void update(std::span<const ListedUpstream> upstreams, TimePoint now);

    /// Which upstreams of @p service may run a request. @p exposing: see Rollout::filter().
    [[nodiscard]] VersionFilter filter(std::string_view service, const RequestTraits &traits, bool exposing, TimePoint now) const;
    /// The roll-out of @p service; null when there is none.
    [[nodiscard]] Rollout *find(std::string_view service);
    /// All roll-outs, by service.
    [[nodiscard]] const std::map<std::string, Rollout, std::less<>> &rollouts() const;
    /// Applies a state that this host has decided as the holder of the duties, or found in the log.
    void applyState(const std::string &service, OrderId id, State state, bool recorded, TimePoint now);
    /// Notes that this host holds the duties with a fencing @p token; 0 when it does not.
    void setHolderToken(std::uint64_t token, TimePoint now);

    [[nodiscard]] gossip::StatusChannelId id() const override;
    [[nodiscard]] std::string_view name() const override;
    [[nodiscard]] std::string content(TimePoint now) override;
    bool apply(std::string_view hostStart, std::string_view content, TimePoint now) override;
    void forget(std::string_view hostStart) override;

private:
    struct Listing {
        std::string service;
        std::string version;
        TimePoint since;
        bool held = false; ///< Its version appeared beside others, and an order for it may still be on its way.
    };
    struct SettledOrder {
        OrderId id = 0;
        Order order;
    };

    /// Whether a new upstream of @p service is held back because of its version.
    [[nodiscard]] bool appearsBesideOthers(const std::string &service, const std::string &version, TimePoint now) const;
    /// Whether most upstreams of @p order's service have had its version for some time.
    [[nodiscard]] bool servesMost(const Order &order, TimePoint now) const;
    /// Whether @p id is a later order than the known ones. The same order may have a new id in a later era of the log; the known one is renamed then.
    bool isNewOrder(OrderId id, const Order &order);
    /// Applies what another host tells of one roll-out. Returns false when it cannot be true.
    bool applyReport(std::string_view hostStart, const Report &report, TimePoint now);
    /// Uses upstreams that were held back when no order has come for them.
    void release(TimePoint now);
    /// Forgets the roll-outs, and the abandoned versions, whose upstreams have left.
    void dropSettled(TimePoint now);
    [[nodiscard]] bool isListed(std::string_view service, std::string_view version) const;
    void report(const Rollout &rollout, std::string_view change) const;

    const ExposureBounds m_bounds;
    const Duration m_orderDelay;
    const double m_random;
    const Listener m_listener;
    std::size_t m_hosts = 1;
    std::uint64_t m_holderToken = 0;
    std::optional<TimePoint> m_ordersRead;
    bool m_anyHeld = false;
    std::map<std::string, Listing, std::less<>> m_listings;                ///< By instance.
    std::map<std::string, TimePoint, std::less<>> m_firstListed;           ///< By service.
    std::map<std::string, Rollout, std::less<>> m_rollouts;                ///< By service.
    std::map<std::string, SettledOrder, std::less<>> m_settled;            ///< By service, the last order that needs no more attention.
    std::map<std::string, std::set<std::string>, std::less<>> m_abandoned; ///< By service, versions whose roll-out was replaced before it was complete.
};

}
