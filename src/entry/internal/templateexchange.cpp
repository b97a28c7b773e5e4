#include "entry/internal/templateexchange.h"

#include "base/json.h"
#include "base/text.h"
#include "templates/templaterecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using templates::StatedRevision;

namespace {

constexpr const char *PullMethod = "templates";
constexpr std::chrono::milliseconds PullTimeout{2'000};
/// Consecutive heartbeats that must differ before revisions are pulled, because the log usually delivers them sooner.
constexpr std::uint32_t HeartbeatsBeforePull = 2;
/// Size of the template texts after which an answer to a pull takes no more; the next pull fetches the rest.
constexpr std::size_t MaxPulledBytes = 512 * 1024;
constexpr std::size_t FingerprintLength = 16;

}

TemplateExchange::TemplateExchange(
    net::io_context &context, TemplateTable &table, const LogFollower &follower, std::shared_ptr<rpc::IPeerClient> client, AdoptedHandler adopted)
    : m_context(context)
    , m_table(table)
    , m_follower(follower)
    , m_client(std::move(client))
    , m_adopted(std::move(adopted))
{
}

void TemplateExchange::serve(rpc::IPeerServer &server)
{
    server.add(PullMethod, [this](const Json::Value &params) -> std::optional<Json::Value> {
        if (!params.isObject() || !params["known"].isArray()) {
            return std::nullopt;
        }
        return revisionsBeyond(params["known"]);
    });
}

std::string TemplateExchange::name() const
{
    return "templates";
}

Json::Value TemplateExchange::write(const membership::Peer &)
{
    Json::Value value;
    value["log"] = Json::UInt64(m_follower.position());
    value["reachable"] = m_follower.reachable();
    value["complete"] = complete();
    value["print"] = fingerprint();
    return value;
}

void TemplateExchange::read(const membership::Peer &peer, const Json::Value &value)
{
    const std::optional<std::string> print = stringMember(value, "print");
    if (!print) {
        return;
    }
    PeerTemplates &row = m_peers[peer.name];
    row.logPosition = unsignedMember(value, "log").value_or(0);
    row.logReachable = boolMember(value, "reachable", false);
    row.complete = boolMember(value, "complete", false);
    row.fingerprint = *print;
    if (row.fingerprint == fingerprint()) {
        row.differingHeartbeats = 0;
        m_completeFromPeer = m_completeFromPeer || row.complete;
        return;
    }
    ++row.differingHeartbeats;
    const bool logIsFaster = m_follower.reachable() && m_follower.caughtUp();
    if (!row.pulling && (row.differingHeartbeats >= HeartbeatsBeforePull || !logIsFaster)) {
        row.pulling = true;
        net::co_spawn(m_context, pull(peer), net::detached);
    }
}

void TemplateExchange::forget(const std::string &peer)
{
    m_peers.erase(peer);
}

const PeerTemplates *TemplateExchange::find(const std::string &name) const
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::string TemplateExchange::fingerprint() const
{
    std::string text;
    for (const std::string &workspace : m_table.fold().workspaces()) {
        const StatedRevision &stated = m_table.fold().inForce(workspace)->stated;
        text += workspace + " " + std::to_string(stated.revision) + " " + stated.changeId + "\n";
    }
    return sha256Hex(text).substr(0, FingerprintLength);
}

bool TemplateExchange::complete() const
{
    return m_follower.caughtUp() || m_completeFromPeer;
}

Json::Value TemplateExchange::knownRevisions() const
{
    Json::Value known(Json::arrayValue);
    for (const std::string &workspace : m_table.fold().workspaces()) {
        const StatedRevision &stated = m_table.fold().inForce(workspace)->stated;
        Json::Value row;
        row["workspace"] = workspace;
        row["revision"] = Json::UInt64(stated.revision);
        row["offset"] = Json::UInt64(stated.offset);
        known.append(row);
    }
    return known;
}

Json::Value TemplateExchange::revisionsBeyond(const Json::Value &known) const
{
    std::map<std::string, StatedRevision> knownByPeer;
    for (const Json::Value &row : known) {
        StatedRevision stated;
        stated.workspace = stringMember(row, "workspace").value_or("");
        stated.revision = unsignedMember(row, "revision").value_or(0);
        stated.offset = unsignedMember(row, "offset").value_or(0);
        knownByPeer[stated.workspace] = stated;
    }
    Json::Value answer;
    answer["known"] = knownRevisions();
    answer["revisions"] = Json::Value(Json::arrayValue);
    std::size_t bytes = 0;
    for (const std::string &workspace : m_table.fold().workspaces()) {
        const StatedRevision &own = m_table.fold().inForce(workspace)->stated;
        const auto found = knownByPeer.find(workspace);
        const bool wanted = found == knownByPeer.end() || own.supersedes(found->second);
        if (wanted && bytes < MaxPulledBytes) {
            bytes += own.text.size();
            answer["revisions"].append(templates::toJson(own));
        }
    }
    return answer;
}

net::awaitable<void> TemplateExchange::pull(membership::Peer peer)
{
    const std::shared_ptr<TemplateExchange> self = shared_from_this();
    Json::Value params;
    params["known"] = knownRevisions();
    rpc::RpcFailure failure;
    const std::optional<Json::Value> answer = co_await m_client->call(peer.peerEndpoint, PullMethod, std::move(params), PullTimeout, failure);
    const auto found = m_peers.find(peer.name);
    if (found != m_peers.end()) {
        found->second.pulling = false;
    }
    if (answer && answer->isObject()) {
        applyPullAnswer(peer.name, *answer);
    }
}

void TemplateExchange::applyPullAnswer(const std::string &peer, const Json::Value &answer)
{
    bool adopted = false;
    for (const Json::Value &row : answer["revisions"]) {
        const std::optional<StatedRevision> revision = templates::statedRevisionFromJson(row);
        adopted = (revision && m_table.adopt(*revision)) || adopted;
    }
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.revisions.clear();
        for (const Json::Value &row : answer["known"]) {
            found->second.revisions[stringMember(row, "workspace").value_or("")] = unsignedMember(row, "revision").value_or(0);
        }
        m_completeFromPeer = m_completeFromPeer || (found->second.complete && found->second.fingerprint == fingerprint());
    }
    if (adopted) {
        m_adopted();
    }
}

}
