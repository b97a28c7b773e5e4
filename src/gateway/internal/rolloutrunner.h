#pragma once

#include "gateway/internal/dutyrunner.h"
#include "gateway/internal/gatewaycontext.h"
#include "rollouts/rolloutcontroller.h"

#include <boost/asio/awaitable.hpp>

namespace rosemaryshift::gateway {

/// Keeps the roll-outs of this host up to date and, while this host holds the duties, decides how far they have come and records it in the log. Used from the
/// gateway's thread.
class RolloutRunner
{
public:
    RolloutRunner(GatewayContext &context, const DutyRunner &duties, GossipEndpoint &gossip);

    /// Runs until the process ends; returns at once when orders are not followed.
    boost::asio::awaitable<void> run();

private:
    /// The last state of a service's roll-out that the log is known to hold.
    struct Written {
        rollouts::OrderId order = 0;
        rollouts::State state = rollouts::State::Unknown;
        ports::LogEra era;

        bool operator==(const Written &) const = default;
    };

    /// Tells the roll-outs which upstreams are listed, and sets the metrics.
    void update(TimePoint now);
    /// Tells the other hosts at once of states that this host has decided.
    void announce();
    /// Reads how far roll-outs have come that this host found at its start.
    boost::asio::awaitable<void> readUnknown();
    /// Applies the records of roll-outs in the log.
    void applyRecords(std::span<const ports::Record> records);
    /// Decides how far a service's roll-out has come, and records it if the log does not hold it. Precondition: this host holds the duties.
    boost::asio::awaitable<void> advance(std::string service);
    /// Records @p state; an outcome that the log holds already is applied instead.
    boost::asio::awaitable<void> record(std::string service, rollouts::State state, std::string_view reason);
    [[nodiscard]] rollouts::StateRecord stateRecord(const rollouts::Rollout &rollout, rollouts::State state) const;

    GatewayContext &m_context;
    const DutyRunner &m_duties;
    GossipEndpoint &m_gossip;
    std::map<std::string, Written> m_written;                                         ///< By service.
    std::map<std::string, std::pair<rollouts::OrderId, rollouts::State>> m_announced; ///< By service.
    std::optional<TimePoint> m_retryAt;                                               ///< When the log may be called again after a failure.
};

}
