#pragma once

#include "gossip/istatuschannel.h"
#include "gossip/peerstatus.h"

#include <functional>
#include <span>
#include <vector>

namespace rosemaryshift::gossip {

/// The channels of this host's statuses. Not thread-safe.
class StatusChannels
{
public:
    /// Called with the name of a channel whose content could not be read, and the start of the host that sent it.
    using MalformedHandler = std::function<void(std::string_view channel, std::string_view hostStart)>;

    explicit StatusChannels(MalformedHandler malformed = {});

    /// Adds @p channel, which must outlive this object. Precondition: no other channel has its id.
    void add(IStatusChannel &channel);
    /// The contents to send at @p now; channels with nothing to tell are left out.
    [[nodiscard]] std::vector<ChannelContent> contents(TimePoint now) const;
    /// Passes the contents that @p hostStart has sent to their channels; ignores those of channels that are not known here.
    void apply(std::string_view hostStart, std::span<const ChannelContent> contents, TimePoint now) const;
    /// Tells all channels that @p hostStart is gone.
    void forget(std::string_view hostStart) const;

private:
    MalformedHandler m_malformed;
    std::vector<IStatusChannel *> m_channels;
};

}
