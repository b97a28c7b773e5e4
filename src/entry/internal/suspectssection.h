#pragma once

#include "entry/internal/decisionloop.h"
#include "membership/imembership.h"

#include <functional>

namespace rosemaryshift::entry {

/// Heartbeat section with what hosts know about requests that may crash upstreams, so that repetitions of such a request are kept from the
/// upstreams at every host. Must be used on the control thread.
class SuspectsSection : public membership::IHeartbeatSection
{
public:
    using Clock = std::function<TimePoint()>;

    /// Also tells the decision core the names of the live entry hosts, now and at each change. Precondition: @p decisionLoop outlives the section,
    /// and the section is added to @p membership, which outlives it.
    SuspectsSection(DecisionLoop &decisionLoop, membership::IMembership &membership, Clock clock);

    [[nodiscard]] std::string name() const override;
    Json::Value write(const membership::Peer &peer) override;
    void read(const membership::Peer &peer, const Json::Value &value) override;

private:
    void nameEntryHosts();

    DecisionLoop &m_decisionLoop;
    membership::IMembership &m_membership;
    const Clock m_clock;
};

}
