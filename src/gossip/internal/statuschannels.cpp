#include "gossip/statuschannels.h"

#include <algorithm>

namespace rosemaryshift::gossip {

StatusChannels::StatusChannels(MalformedHandler malformed)
    : m_malformed(std::move(malformed))
{
}

void StatusChannels::add(IStatusChannel &channel)
{
    m_channels.push_back(&channel);
}

std::vector<ChannelContent> StatusChannels::contents(TimePoint now) const
{
    std::vector<ChannelContent> all;
    for (IStatusChannel *const channel : m_channels) {
        std::string content = channel->content(now);
        if (!content.empty()) {
            all.push_back({static_cast<std::uint8_t>(channel->id()), std::move(content)});
        }
    }
    return all;
}

void StatusChannels::apply(std::string_view hostStart, std::span<const ChannelContent> contents, TimePoint now) const
{
    for (const ChannelContent &content : contents) {
        const auto channel = std::ranges::find_if(
            m_channels, [&content](const IStatusChannel *candidate) { return static_cast<std::uint8_t>(candidate->id()) == content.channel; });
        if (channel == m_channels.end()) {
            continue;
        }
        if (!(*channel)->apply(hostStart, content.bytes, now) && m_malformed) {
            m_malformed((*channel)->name(), hostStart);
        }
    }
}

void StatusChannels::forget(std::string_view hostStart) const
{
    for (IStatusChannel *const channel : m_channels) {
        channel->forget(hostStart);
    }
}

}
