#pragma once

#include "balancing/balancingtypes.h"
#include "base/types.h"
#include "duties/usageledger.h"
#include "limits/upstreamlimits.h"
#include "quarantine/quarantinetypes.h"
#include "streams/originreport.h"
#include "streams/versionhistory.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::gossip {

/// Shortest interval at which a host sends its status, and the interval of hosts that do not state theirs.
constexpr std::chrono::milliseconds ShortestStatusInterval{400};

/// Interval at which a host sends its status to @p peers other hosts. It grows with their number, so that the statuses that a host sends and receives
/// in a second do not. @p withEarlierVersions: hosts of earlier software versions are among them, which take a host for silent after 1.2 s whatever its
/// interval. Thread-safe.
std::chrono::milliseconds statusInterval(std::size_t peers, bool withEarlierVersions = false);

/// What one channel tells in a status; see IStatusChannel.
struct ChannelContent {
    std::uint8_t channel = 0; ///< A StatusChannelId, or the number of a channel that this software version does not know.
    std::string bytes;

    bool operator==(const ChannelContent &) const = default;
};

/// What a gateway reports about itself to each other gateway once per interval, in one datagram.
struct PeerStatus {
    std::string host;
    std::string start; ///< Identifies one run of the host's process.
    std::string zone;
    std::string address;
    std::uint64_t sentUs = 0;            ///< Sending time on the sender's own clock, in microseconds; only comparable on the sender, to which it is echoed.
    std::optional<std::uint64_t> echoUs; ///< The last sentUs that the sender received from the receiver.
    std::chrono::milliseconds interval = ShortestStatusInterval; ///< Time until the sender's next status.
    bool readsCompact = false;                                   ///< The sender reads the compact form of statuses.
    std::uint64_t configuration = 0;                             ///< Version of the configuration in force at the sender.
    std::optional<std::uint64_t> confirmedAgeMs;                 ///< Time since the sender last knew that no newer configuration was in force.
    std::optional<std::uint64_t> listReachableMs;                ///< How long the sender has been able to read the list of upstreams; nothing while it cannot.
    std::uint64_t wallUs = 0;                                    ///< The sender's wall clock: microseconds since the Unix epoch.
    bool holdsDuties = false;
    bool leaving = false;                                      ///< The sender is about to exit and sends no more statuses.
    std::map<std::string, double> demand;                      ///< Requested rate per second, by workspace, in the unit of the workspace's quota.
    std::map<std::string, std::uint64_t> used;                 ///< Quota used by the sender's process since it started, by workspace.
    std::map<std::string, double> busy;                        ///< Number of upstreams that the sender's requests keep busy, by service.
    std::map<std::string, balancing::Outstanding> outstanding; ///< The sender's requests in progress, by upstream instance.
    /// Requests in the most recent usage windows, by window number and host process: the sender's own counts, and those of processes from
    /// which the sender no longer receives statuses.
    std::map<std::uint64_t, std::map<std::string, duties::UsageCounts>> usage;
    std::vector<limits::LimitReport> upstreamLimits; ///< Limits on requests that upstreams state.
    std::vector<quarantine::SuspectReport> suspects; ///< Prompt parts and equal requests that may crash upstreams.
    std::vector<streams::VersionReport> versions;    ///< Software versions of the services that have several.
    streams::OriginReport streams;                   ///< Streams whose origin the sender has not yet recorded in the platform's log.
    std::string forwardingToken;                     ///< Presented by peers that forward requests to the sender's process; empty when it takes none.
    std::vector<std::string> unreachedServices;      ///< Services of which the sender reaches no upstream.
    std::vector<std::string> peers;                  ///< Addresses of the peers from which the sender has recently received a status.
    bool peersUnchanged = false;                     ///< The peers are left out, as the receiver knows them from earlier statuses, nearly.
    std::vector<ChannelContent> channels;            ///< Only in the compact form.

    bool operator==(const PeerStatus &) const = default;
};

/// Identifies one start of a host's process. Thread-safe.
std::string hostStart(const std::string &host, const std::string &start);

/// Encodes a status as one datagram in JSON, for hosts of earlier software versions. Thread-safe.
std::string encoded(const PeerStatus &status);

/// A status in its compact form, encoded once for all receivers. The datagram for one of them is header() with the receiver's echo, then body().
/// Ignores echoUs. Not thread-safe.
class CompactStatus
{
public:
    static constexpr std::size_t HeaderBytes = 16;

    /// @p withPeers: includes PeerStatus::peers. Precondition: the encoded status fits into one datagram.
    explicit CompactStatus(const PeerStatus &status, bool withPeers = true);

    /// The start of a datagram to a receiver whose last PeerStatus::sentUs was @p echoUs.
    [[nodiscard]] std::array<char, HeaderBytes> header(std::optional<std::uint64_t> echoUs) const;
    /// The rest of the datagram, the same for all receivers. Valid as long as this object.
    [[nodiscard]] std::string_view body() const;

private:
    std::string m_body;
};

/// Decodes a status in either form from a datagram; returns nothing when it is malformed. Thread-safe.
std::optional<PeerStatus> decodedPeerStatus(std::string_view datagram);

}
