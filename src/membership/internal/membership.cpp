#include "base/coretime.h"
#include "base/json.h"
#include "membership/heartbeatjson.h"
#include "membership/imembership.h"
#include "membership/peertable.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <bit>
#include <map>
#include <utility>

namespace rosemaryshift::membership {

namespace net = boost::asio;
using timeline::EventKind;

namespace {

constexpr const char *HeartbeatMethod = "heartbeat";
/// Number of heartbeat intervals without a heartbeat of a peer after which both hosts of a pair call each other.
constexpr std::uint32_t SilentIntervals = 2;
/// Delay of an urgent round of heartbeats, so that changes that follow each other closely share one round.
constexpr std::chrono::milliseconds UrgentDelay{20};
/// Estimated size of the HTTP headers of a request and its response together.
constexpr std::size_t HttpHeaderBytes = 400;
/// Number of calls over which the moving average of the bytes per call is taken.
constexpr double AveragedCalls = 16;
/// Assumed bytes per call before the first call.
constexpr double InitialBytesPerCall = 1'000;
/// Upper limit for the heartbeat interval that a peer announces.
constexpr std::uint64_t MaxIntervalMs = 3'600'000;
/// Prefix of the name of a target that is known only as a seed.
constexpr const char *SeedPrefix = "seed ";

/// Parity of the 32-bit FNV-1a hash of @p text, which is the same on all hosts.
bool parityOf(std::string_view text)
{
    std::uint32_t hash = 2'166'136'261U;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 16'777'619U;
    }
    return (std::popcount(hash) & 1) != 0;
}

EventKind eventKindOf(PeerChange change)
{
    return change == PeerChange::Lost ? EventKind::PeerLost : EventKind::PeerSeen;
}

std::string_view changeName(PeerChange change)
{
    switch (change) {
    case PeerChange::Appeared:
        return "appeared";
    case PeerChange::Leaving:
        return "leaving";
    case PeerChange::Lost:
        return "lost";
    }
    return "";
}

class Membership : public IMembership
{
public:
    Membership(net::io_context &control,
               const MembershipSettings &settings,
               Peer self,
               std::shared_ptr<rpc::IPeerClient> client,
               std::shared_ptr<timeline::ITimeline> timeline)
        : m_control(control)
        , m_settings(settings)
        , m_self(std::move(self))
        , m_client(std::move(client))
        , m_timeline(std::move(timeline))
        , m_table(settings)
        , m_timer(control)
    {
    }

    void start() override
    {
        net::co_spawn(m_control, runHeartbeats(), net::detached);
    }

    void updateHostList(const platform::HostList &list) override
    {
        for (const platform::ListedHost &host : list.hosts) {
            if (host.kind == platform::HostKind::Entry && host.name != m_self.name) {
                addListedHost(host);
            }
        }
        std::erase_if(m_targets, [&](const auto &target) { return !m_table.peer(target.first) && !isListed(list, target.first); });
    }

    void leave() override
    {
        m_self.leaving = true;
        sendHeartbeatsSoon();
    }

    void sendHeartbeatsSoon() override
    {
        if (!m_urgent) {
            m_urgent = true;
            m_timer.cancel();
        }
    }

    [[nodiscard]] std::vector<Peer> peers() const override
    {
        return m_table.peers();
    }

    [[nodiscard]] std::optional<Peer> peer(std::string_view name) const override
    {
        return m_table.peer(name);
    }

    [[nodiscard]] const Peer &self() const override
    {
        return m_self;
    }

    void addSection(std::shared_ptr<IHeartbeatSection> section) override
    {
        m_sections.push_back(std::move(section));
    }

    void addObserver(Observer observer) override
    {
        m_observers.push_back(std::move(observer));
    }

    /// Handles the heartbeat of another host and returns one of this host; nothing when it is malformed.
    std::optional<Json::Value> answer(const Json::Value &params)
    {
        const std::optional<Peer> peer = handleHeartbeat(params);
        if (!peer) {
            return std::nullopt;
        }
        return heartbeatFor(*peer);
    }

private:
    /// A host to which heartbeats are sent.
    struct Target {
        http::Endpoint endpoint;
        bool calling = false;   ///< A call is in progress.
        bool callAgain = false; ///< An urgent round was due during the call in progress, so that another one has to follow.
    };

    void addListedHost(const platform::ListedHost &host)
    {
        const auto [target, isNew] = m_targets.try_emplace(host.name);
        target->second.endpoint = host.endpoint;
        if (isNew && !m_table.peer(host.name)) {
            startCall(host.name, target->second);
        }
    }

    static bool isListed(const platform::HostList &list, const std::string &name)
    {
        return std::ranges::any_of(list.hosts, [&](const platform::ListedHost &host) { return host.name == name; });
    }

    net::awaitable<void> runHeartbeats()
    {
        while (true) {
            callTargets(std::exchange(m_urgent, false));
            notify(m_table.expire(coreNow()));
            m_timer.expires_after(m_urgent ? Duration(UrgentDelay) : interval());
            co_await m_timer.async_wait(net::as_tuple(net::use_awaitable));
            if (m_urgent) {
                m_timer.expires_after(UrgentDelay);
                co_await m_timer.async_wait(net::as_tuple(net::use_awaitable));
            }
        }
    }

    /// Starts the calls of one round of heartbeats: to all targets in an urgent round (@p all), otherwise to those of which this host is the caller.
    void callTargets(bool all)
    {
        addSeeds();
        for (auto &[name, target] : m_targets) {
            if (target.calling) {
                target.callAgain = target.callAgain || all;
            } else if (all || isCaller(name)) {
                startCall(name, target);
            }
        }
    }

    void startCall(const std::string &name, Target &target)
    {
        target.calling = true;
        target.callAgain = false;
        net::co_spawn(m_control, callPeer(name, target.endpoint), net::detached);
    }

    /// Time between two rounds of heartbeats, long enough to stay within the limit of bytes per second.
    [[nodiscard]] Duration interval() const
    {
        const double bytesPerRound = m_bytesPerCall * static_cast<double>(m_table.peers().size());
        const std::chrono::duration<double> needed(bytesPerRound / m_settings.bytesPerSecond);
        return std::max(m_settings.interval, std::chrono::duration_cast<Duration>(needed));
    }

    void updateBytesPerCall(const Json::Value &sent, const Json::Value &received)
    {
        const double bytes = static_cast<double>(toText(sent).size() + toText(received).size() + HttpHeaderBytes);
        m_bytesPerCall += (bytes - m_bytesPerCall) / AveragedCalls;
    }

    /// True when this host has to call the host @p name in a regular round. A call carries the heartbeats of both hosts, so
    /// only one host of each pair calls. The other one calls, too, when it has had no heartbeat of the peer for SilentIntervals.
    [[nodiscard]] bool isCaller(const std::string &name) const
    {
        if (!m_table.heardWithin(name, interval() * SilentIntervals, coreNow())) {
            return true;
        }
        const bool first = m_self.name < name;
        const std::string pair = first ? m_self.name + "/" + name : name + "/" + m_self.name;
        const bool firstCalls = parityOf(pair);
        return first == firstCalls;
    }

    /// Makes each seed a target until a live peer with its endpoint is known.
    void addSeeds()
    {
        for (const http::Endpoint &seed : m_settings.seeds) {
            const std::string name = SeedPrefix + seed.text();
            const bool known = seed == m_self.peerEndpoint || std::ranges::any_of(m_table.peers(), [&](const Peer &peer) { return peer.peerEndpoint == seed; });
            if (known) {
                m_targets.erase(name);
            } else {
                m_targets[name].endpoint = seed;
            }
        }
    }

    net::awaitable<void> callPeer(std::string name, http::Endpoint endpoint)
    {
        Peer target;
        target.name = name;
        const Json::Value sent = heartbeatFor(m_table.peer(name).value_or(target));
        Json::Value params = sent;
        rpc::RpcFailure failure;
        const std::chrono::milliseconds timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.interval);
        const std::optional<Json::Value> result = co_await m_client->call(endpoint, HeartbeatMethod, std::move(params), timeout, failure);
        if (result) {
            updateBytesPerCall(sent, *result);
            handleHeartbeat(*result);
        }
        const std::map<std::string, Target>::iterator found = m_targets.find(name);
        if (found == m_targets.end()) {
            co_return;
        }
        found->second.calling = false;
        if (found->second.callAgain) {
            startCall(name, found->second);
        }
    }

    [[nodiscard]] Json::Value heartbeatFor(const Peer &peer)
    {
        Json::Value value;
        value["sender"] = toJson(m_self);
        value["interval_ms"] = Json::UInt64(std::chrono::duration_cast<std::chrono::milliseconds>(interval()).count());
        value["sections"] = Json::Value(Json::objectValue);
        for (const std::shared_ptr<IHeartbeatSection> &section : m_sections) {
            value["sections"][section->name()] = section->write(peer);
        }
        return value;
    }

    std::optional<Peer> handleHeartbeat(const Json::Value &heartbeat)
    {
        const std::optional<Peer> peer = heartbeat.isObject() ? peerFromJson(heartbeat["sender"]) : std::nullopt;
        if (!peer || peer->name == m_self.name) {
            return std::nullopt;
        }
        m_targets[peer->name].endpoint = peer->peerEndpoint;
        const std::uint64_t intervalMs = std::min(unsignedMember(heartbeat, "interval_ms").value_or(0), MaxIntervalMs);
        notify(m_table.recordHeartbeat(*peer, coreNow(), std::chrono::milliseconds(intervalMs)));
        const Json::Value &sections = heartbeat["sections"];
        for (const std::shared_ptr<IHeartbeatSection> &section : m_sections) {
            if (sections.isObject() && sections.isMember(section->name())) {
                section->read(*peer, sections[section->name()]);
            }
        }
        return peer;
    }

    void notify(const std::vector<PeerEvent> &events)
    {
        for (const PeerEvent &event : events) {
            m_timeline->record(eventKindOf(event.change), {.detail = event.peer.name + " " + std::string(changeName(event.change))});
            for (const Observer &observer : m_observers) {
                observer(event.peer, event.change);
            }
        }
    }

    net::io_context &m_control;
    const MembershipSettings m_settings;
    Peer m_self;
    const std::shared_ptr<rpc::IPeerClient> m_client;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    PeerTable m_table;
    net::steady_timer m_timer;
    bool m_urgent = false;
    double m_bytesPerCall = InitialBytesPerCall;
    std::map<std::string, Target> m_targets;
    std::vector<std::shared_ptr<IHeartbeatSection>> m_sections;
    std::vector<Observer> m_observers;
};

}

std::unique_ptr<IMembership> makeMembership(net::io_context &control,
                                            const MembershipSettings &settings,
                                            Peer self,
                                            std::shared_ptr<rpc::IPeerClient> client,
                                            rpc::IPeerServer &server,
                                            std::shared_ptr<timeline::ITimeline> timeline)
{
    std::unique_ptr<Membership> membership = std::make_unique<Membership>(control, settings, std::move(self), std::move(client), std::move(timeline));
    server.add(HeartbeatMethod, [target = membership.get()](const Json::Value &params) { return target->answer(params); });
    return membership;
}

}
