#pragma once

#include "membership/membershiptypes.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::entry {

/// The entry hosts as the traffic threads see them; the control thread keeps it up to date. Thread-safe.
class PeerView
{
public:
    /// Takes in a change that the membership has noticed.
    void update(const membership::Peer &peer, membership::PeerChange change);
    /// All peers heard of lately.
    [[nodiscard]] std::vector<membership::Peer> all() const;
    /// The peer @p name; nothing when it is not known or was lost.
    [[nodiscard]] std::optional<membership::Peer> find(std::string_view name) const;
    /// The peer of the host and incarnation @p hostId, "name.incarnation".
    [[nodiscard]] std::optional<membership::Peer> findByHostId(std::string_view hostId) const;
    /// The peer that accepted the request @p requestId, if it is there in the same incarnation.
    [[nodiscard]] std::optional<membership::Peer> findAcceptingHost(std::string_view requestId) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, membership::Peer, std::less<>> m_peers;
};

}
