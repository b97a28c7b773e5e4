#pragma once

#include "entry/internal/upstreamdirectory.h"
#include "membership/imembership.h"

#include <functional>

namespace rosemaryshift::entry {

/// Heartbeat section with the upstreams that are leaving. All hosts learn of them within a heartbeat, even when the
/// platform's host list lags or is unavailable. Must be used on the control thread.
class LeavingUpstreamsSection : public membership::IHeartbeatSection
{
public:
    using Clock = std::function<TimePoint()>;

    /// Precondition: @p upstreams outlives the section.
    LeavingUpstreamsSection(UpstreamDirectory &upstreams, Clock clock);

    [[nodiscard]] std::string name() const override;
    Json::Value write(const membership::Peer &peer) override;
    void read(const membership::Peer &peer, const Json::Value &value) override;

private:
    UpstreamDirectory &m_upstreams;
    const Clock m_clock;
};

}
