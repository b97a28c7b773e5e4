#pragma once

#include "entry/internal/upstreamdirectory.h"
#include "membership/imembership.h"

#include <functional>

namespace rosemaryshift::entry {

/// Tells peers which upstreams are leaving, so that all hosts know within a heartbeat when the platform's list lags or is
/// down. Not thread-safe; belongs to the control thread.
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
