#pragma once

#include "membership/membershiptypes.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::entry {

/// Thread-safe copy of the membership for the traffic threads; the control thread keeps it up to date.
class PeerView
{
public:
    /// Applies a change of the membership.
    void update(const membership::Peer &peer, membership::PeerChange change);
    /// All peers that are not lost.
    [[nodiscard]] std::vector<membership::Peer> all() const;
    /// The peer @p name; nothing when it is not known or was lost.
    [[nodiscard]] std::optional<membership::Peer> find(std::string_view name) const;
    /// The peer with the host id @p hostId, which has the form "name.incarnation"; nothing when the peer is unknown or has
    /// restarted since.
    [[nodiscard]] std::optional<membership::Peer> findByHostId(std::string_view hostId) const;
    /// The peer that accepted the request @p requestId; nothing when it is unknown or has restarted since.
    [[nodiscard]] std::optional<membership::Peer> findAcceptingHost(std::string_view requestId) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, membership::Peer, std::less<>> m_peers;
};

}
