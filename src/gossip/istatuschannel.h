#pragma once

#include "base/types.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rosemaryshift::gossip {

/// Identifies a channel in datagrams. A number is never given to another channel, so that hosts of different software versions agree on it.
enum class StatusChannelId : std::uint8_t {
    UpstreamSamples = 1, ///< What hosts measure of upstreams.
    Rollouts = 2,        ///< Exposure of, and evidence about, versions that are rolled out.
    SecondTries = 3,     ///< Use of the limit on second tries.
    QuotaGrants = 4,     ///< Parts of quotas that hosts reserve or release.
    StreamMoves = 5,     ///< Room that hosts take up at upstreams for streams that they move.
    HostLinks = 6,       ///< What the links of hosts carry.
};

/// What one module tells its counterparts on the other hosts within the statuses that hosts send each other. Hosts of earlier software versions ignore
/// channels that they do not know. Not thread-safe.
class IStatusChannel
{
public:
    virtual ~IStatusChannel() = default;

    [[nodiscard]] virtual StatusChannelId id() const = 0;
    /// Name in log lines and metrics.
    [[nodiscard]] virtual std::string_view name() const = 0;
    /// The content for the statuses that are sent at @p now; empty when there is nothing to tell. Called several times in an interval, so that the content
    /// states totals or levels, not changes since the last call. Datagrams may be lost, repeated or arrive out of order.
    [[nodiscard]] virtual std::string content(TimePoint now) = 0;
    /// Applies what @p hostStart, one start of a host's process, has sent. Returns false, without an effect, when the content is malformed.
    virtual bool apply(std::string_view hostStart, std::string_view content, TimePoint now) = 0;
    /// Drops what @p hostStart has told, as it is gone.
    virtual void forget(std::string_view hostStart) = 0;
};

}
