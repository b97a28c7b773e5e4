#include "entry/internal/hoststatus.h"

namespace rosemaryshift::entry {

namespace {

/// Why the templates of @p peer differ from this host's.
std::string lagText(const PeerTemplates &peer, const LogFollower &follower)
{
    if (!peer.logReachable) {
        return "its log is out";
    }
    if (peer.logPosition < follower.position()) {
        return "it is " + std::to_string(follower.position() - peer.logPosition) + " records behind";
    }
    return peer.logPosition > follower.position() ? "this host is behind it" : "its templates are about to be exchanged";
}

}

PeerStatus makePeerStatus(const membership::Peer &peer, const TemplateExchange &exchange, const LogFollower &follower)
{
    PeerStatus status;
    status.peer = peer;
    const PeerTemplates *const peerTemplates = exchange.find(peer.name);
    if (peerTemplates == nullptr) {
        status.lag = "it has not said which templates it holds";
        return status;
    }
    status.templates = *peerTemplates;
    status.sameTemplates = peerTemplates->fingerprint == exchange.fingerprint();
    status.lag = status.sameTemplates ? "" : lagText(*peerTemplates, follower);
    return status;
}

}
