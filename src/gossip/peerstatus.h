#pragma once

#include "balancing/balancingtypes.h"
#include "base/types.h"
#include "duties/usageledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::gossip {

/// What a gateway tells another one every few hundred milliseconds, in one datagram.
struct PeerStatus {
    std::string host;
    std::string start; ///< Which start of the host's process.
    std::string zone;
    std::string address;
    std::uint64_t sentUs = 0;                     ///< On the sender's own clock; means nothing elsewhere, and is echoed.
    std::optional<std::uint64_t> echoUs;          ///< The last sentUs that the sender has had from the receiver.
    std::uint64_t configuration = 0;              ///< Version in force at the sender.
    std::optional<std::uint64_t> confirmedAgeMs;  ///< Time since the sender was certain that nothing newer was in force.
    std::optional<std::uint64_t> listReachableMs; ///< For how long the sender has been able to read the list of upstreams.
    std::uint64_t wallUs = 0;                     ///< What the sender's own clock makes of the time since the start of 1970.
    bool holdsDuties = false;
    bool leaving = false;                                      ///< The sender is about to end and says no more.
    std::map<std::string, double> demand;                      ///< What callers ask for a second, by workspace, in the unit of its quota.
    std::map<std::string, std::uint64_t> used;                 ///< What the sender's start has used of the quotas, by workspace.
    std::map<std::string, double> busy;                        ///< Upstreams that the sender's requests keep busy, by service.
    std::map<std::string, balancing::Outstanding> outstanding; ///< By instance.
    /// Requests of the last windows, by the start of a host: the sender's own, and those of starts that are gone.
    std::map<std::uint64_t, std::map<std::string, duties::UsageCounts>> usage;
    std::vector<std::string> peers; ///< Addresses of the hosts that the sender has heard of late.

    bool operator==(const PeerStatus &) const = default;
};

/// One datagram. Thread-safe.
std::string encoded(const PeerStatus &news);
/// Reads a datagram; nothing when it is malformed. Thread-safe.
std::optional<PeerStatus> decodedPeerStatus(std::string_view datagram);

}
