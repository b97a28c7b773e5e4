#include "membership/heartbeatjson.h"

#include "base/json.h"

namespace rosemaryshift::membership {

Json::Value toJson(const Peer &peer)
{
    Json::Value value;
    value["name"] = peer.name;
    value["incarnation"] = peer.incarnation;
    value["zone"] = peer.zone;
    value["peers"] = peer.peerEndpoint.text();
    value["callers"] = peer.callerEndpoint.text();
    value["leaving"] = peer.leaving;
    return value;
}

std::optional<Peer> peerFromJson(const Json::Value &value)
{
    Peer peer;
    peer.name = stringMember(value, "name").value_or("");
    peer.incarnation = stringMember(value, "incarnation").value_or("");
    peer.zone = stringMember(value, "zone").value_or("");
    const std::optional<http::Endpoint> peers = http::Endpoint::parse(stringMember(value, "peers").value_or(""));
    const std::optional<http::Endpoint> callers = http::Endpoint::parse(stringMember(value, "callers").value_or(""));
    if (peer.name.empty() || peer.incarnation.empty() || peer.zone.empty() || !peers || !callers) {
        return std::nullopt;
    }
    peer.peerEndpoint = *peers;
    peer.callerEndpoint = *callers;
    peer.leaving = boolMember(value, "leaving", false);
    return peer;
}

}
