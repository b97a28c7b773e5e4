#pragma once

#include "balancing/upstreamspeeds.h"
#include "gossip/istatuschannel.h"

namespace rosemaryshift::gateway {

/// Tells the other hosts what this host measures of upstreams, and the other way round. Used from the gateway's only thread.
class UpstreamSamplesChannel : public gossip::IStatusChannel
{
public:
    /// @p speeds must outlive this object.
    explicit UpstreamSamplesChannel(balancing::UpstreamSpeeds &speeds)
        : m_speeds(speeds)
    {
    }

    [[nodiscard]] gossip::StatusChannelId id() const override
    {
        return gossip::StatusChannelId::UpstreamSamples;
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "upstream_samples";
    }

    [[nodiscard]] std::string content(TimePoint now) override
    {
        return m_speeds.content(now);
    }

    bool apply(std::string_view hostStart, std::string_view content, TimePoint now) override
    {
        return m_speeds.apply(hostStart, content, now);
    }

    void forget(std::string_view hostStart) override
    {
        m_speeds.forgetHost(hostStart);
    }

private:
    balancing::UpstreamSpeeds &m_speeds;
};

}
