#include "replication/rendezvous.h"

#include "base/text.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rosemaryshift::replication {

using membership::Peer;

std::vector<Peer> rankReplicaHosts(std::string_view key, std::vector<Peer> peers, std::string_view ownZone)
{
    using Ranked = std::pair<std::pair<bool, std::string>, Peer>;
    std::vector<Ranked> ranked;
    for (Peer &peer : peers) {
        if (!peer.leaving) {
            const std::string weight = sha256Hex(std::string(key) + "/" + peer.name);
            ranked.emplace_back(std::pair(peer.zone == ownZone, weight), std::move(peer));
        }
    }
    std::ranges::sort(ranked, {}, &Ranked::first);
    std::vector<Peer> ordered;
    for (Ranked &entry : ranked) {
        ordered.push_back(std::move(entry.second));
    }
    return ordered;
}

}
