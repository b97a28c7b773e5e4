#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/gossipendpoint.h"

#include <map>
#include <string>

namespace rosemaryshift::gateway {

/// Puts the quotas of a configuration in force, and shows in log lines and metrics how they are used. Used from the gateway's thread.
class QuotaReport
{
public:
    /// @p gossip knows what the peers have used.
    QuotaReport(GatewayContext &context, GossipEndpoint &gossip);

    /// Puts the quotas of the configuration that is in force, and the rule that it needs, in force.
    void applyConfiguration(TimePoint now);
    /// Updates the metrics, and logs which workspaces have begun or ceased to ask for more than their quota. To be called several times a second.
    void update(TimePoint now);

private:
    /// What was last reported of a workspace.
    struct Reported {
        bool over = false; ///< It asks for more than its quota.
        double granted = 0;
        double refused = 0;
    };

    /// Logs when a workspace begins or ceases to ask for more than its quota.
    void noteChange(const limits::QuotaUse &use, Reported &reported);
    void count(const limits::QuotaUse &use, Reported &reported);

    /// Logs that usage reports of peers were ignored.
    void noteIgnored();

    GatewayContext &m_context;
    GossipEndpoint &m_gossip;
    std::uint64_t m_ignored = 0;
    std::map<std::string, Reported> m_reported; ///< By workspace.
};

}
