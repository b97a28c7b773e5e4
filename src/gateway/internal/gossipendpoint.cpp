#include "gateway/internal/gossipendpoint.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/busyupstreams.h"
#include "gateway/internal/hostclock.h"
#include "http/ihttpclient.h"

#include <algorithm>
#include <set>

namespace rosemaryshift::gateway {

namespace net = boost::asio;
using net::ip::udp;

namespace {

/// How often peers are told.
constexpr std::chrono::milliseconds SendInterval{400};
/// What a peer said of holding the duties counts for this long: two rounds of news.
constexpr std::chrono::milliseconds HolderNewsLifetime{1'000};
/// Largest datagram that is taken.
constexpr std::size_t MaxDatagram = 16 * 1024;
/// Windows of usage that peers are told of.
constexpr std::uint64_t ToldWindows = 3;
/// Share of a quota that a host takes before it has heard any peer: small, since it does not know how many there are.
constexpr double UnsharedPart = 0.05;
/// A newer version is fetched from a peer when the log has not shown it after this time.
constexpr std::chrono::milliseconds LogHeadStart{250};
constexpr std::chrono::milliseconds FetchTimeout{800};

std::string startName(const std::string &host, const std::string &start)
{
    return host + "/" + start;
}

double demandOf(const gossip::Peer &peer, const std::string &workspace)
{
    const auto found = peer.news.demand.find(workspace);
    return found == peer.news.demand.end() ? 0 : found->second;
}

std::uint64_t microseconds(TimePoint time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

}

GossipEndpoint::GossipEndpoint(GatewayContext &context, ConfigurationFollower &configurations, duties::UsageCollector &usage)
    : m_context(context)
    , m_configurations(configurations)
    , m_usage(usage)
    , m_board(context.settings.address, [&context](const gossip::Peer &peer, std::string_view change) {
        context.eventLog.write(
            "peer", eventlog::Importance::Belief, {{"peer", peer.news.host}, {"change", change}, {"silent_ms", wholeMilliseconds(hostNow() - peer.heard)}});
        if (change == "forgotten" || change == "left") {
            context.balancer.forgetPeer(peer.news.host);
            context.quotas.forgetPeer(startName(peer.news.host, peer.news.start));
            context.wallClock.forgetPeer(peer.news.host);
        }
    })
{
}

bool GossipEndpoint::open(net::io_context &ioContext, std::string &reason)
{
    boost::system::error_code error;
    const net::ip::address address = net::ip::make_address(m_context.settings.address, error);
    m_socket.emplace(ioContext);
    if (!error) {
        m_socket->open(udp::v4(), error);
    }
    if (!error) {
        m_socket->bind(udp::endpoint(address, m_context.settings.gossipPort), error);
    }
    if (error) {
        reason = "cannot bind " + m_context.settings.address + ":" + std::to_string(m_context.settings.gossipPort) + ": " + error.message();
        return false;
    }
    return true;
}

void GossipEndpoint::setSeeds(const std::vector<std::string> &addresses)
{
    m_board.setSeeds(addresses);
}

void GossipEndpoint::setHoldsDuties(bool holds)
{
    m_holdsDuties = holds;
}

bool GossipEndpoint::holderHeard(TimePoint now) const
{
    for (const auto &[host, peer] : m_board.peers()) {
        if (peer.news.holdsDuties && now - peer.heard < HolderNewsLifetime) {
            return true;
        }
    }
    return false;
}

const gossip::PeerBoard &GossipEndpoint::board() const
{
    return m_board;
}

net::awaitable<void> GossipEndpoint::send()
{
    while (true) {
        const TimePoint now = hostNow();
        m_board.expire(now);
        m_context.silentZones = m_board.silentZones();
        share(now);
        gossip::PeerNews news = ownNews(now);
        for (const std::string &address : m_board.addresses()) {
            sendTo(news, address, now);
        }
        co_await pause(SendInterval);
    }
}

void GossipEndpoint::sendTo(gossip::PeerNews &news, const std::string &address, TimePoint now)
{
    news.echoUs = m_board.echoFor(address, now);
    const std::string datagram = encoded(news);
    boost::system::error_code error;
    const net::ip::address to = net::ip::make_address(address, error);
    if (!error) {
        // A datagram that does not go out is as good as lost; the next one follows.
        m_socket->send_to(net::buffer(datagram), udp::endpoint(to, m_context.settings.gossipPort), 0, error);
    }
}

net::awaitable<void> GossipEndpoint::receive()
{
    std::string buffer(MaxDatagram, '\0');
    while (true) {
        udp::endpoint from;
        const auto [error, bytes] = co_await m_socket->async_receive_from(net::buffer(buffer), from, net::as_tuple(net::use_awaitable));
        if (error == net::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue;
        }
        std::optional<gossip::PeerNews> news = gossip::decodedPeerNews(std::string_view(buffer.data(), bytes));
        if (!news) {
            m_context.eventLog.write("news_unreadable", eventlog::Importance::Failure, {{"from", from.address().to_string()}});
            continue;
        }
        take(std::move(*news));
    }
}

gossip::PeerNews GossipEndpoint::ownNews(TimePoint now) const
{
    gossip::PeerNews news;
    news.host = m_context.settings.name;
    news.start = m_context.startId;
    news.zone = m_context.settings.zone;
    news.address = m_context.settings.address;
    news.sentUs = microseconds(now);
    news.configuration = m_context.configuration.version();
    if (const std::optional<Duration> age = m_context.configuration.age(now)) {
        news.confirmedAgeMs = static_cast<std::uint64_t>(wholeMilliseconds(*age)) + 1;
    }
    if (const std::optional<Duration> inReach = m_context.listReach.inReachFor(now)) {
        news.listInReachMs = static_cast<std::uint64_t>(wholeMilliseconds(*inReach));
    }
    news.wallUs = static_cast<std::uint64_t>(m_context.wallClock.ownSinceEpoch(now).count());
    news.holdsDuties = m_holdsDuties;
    news.demand = m_context.quotas.demand(now);
    news.used = m_context.quotas.used();
    news.busy = localBusyUpstreams(m_context, now);
    news.outstanding = m_context.balancer.outstanding();
    addUsage(news, now);
    for (const auto &[host, peer] : m_board.peers()) {
        if (!peer.silent) {
            news.peers.push_back(peer.news.address);
        }
    }
    return news;
}

void GossipEndpoint::addUsage(gossip::PeerNews &news, TimePoint now) const
{
    const std::uint64_t current = m_context.usageLedger.windowAt(m_context.wallClock.sinceEpoch(now));
    std::set<std::string> heard;
    for (const auto &[host, peer] : m_board.peers()) {
        if (!peer.silent) {
            heard.insert(startName(host, peer.news.start));
        }
    }
    for (std::uint64_t window = current - std::min(current, ToldWindows - 1); window <= current; ++window) {
        for (const auto &[start, counts] : m_usage.starts(window)) {
            if (!heard.contains(start)) {
                news.usage[window][start] = counts;
            }
        }
        const auto own = m_context.usageLedger.windows().find(window);
        if (own != m_context.usageLedger.windows().end()) {
            news.usage[window][startName(m_context.settings.name, m_context.startId)] = own->second;
        }
    }
}

std::map<std::string, double> GossipEndpoint::busyUpstreams(TimePoint now) const
{
    std::map<std::string, double> sum = localBusyUpstreams(m_context, now);
    for (const auto &[host, peer] : m_board.peers()) {
        for (const auto &[service, busy] : peer.news.busy) {
            sum[service] += busy;
        }
    }
    return sum;
}

void GossipEndpoint::take(gossip::PeerNews news)
{
    const TimePoint now = hostNow();
    const std::string host = news.host;
    const auto known = m_board.peers().find(host);
    const bool newStart = known == m_board.peers().end() || known->second.news.start != news.start;
    if (!m_board.take(std::move(news), now)) {
        return;
    }
    const gossip::PeerNews &taken = m_board.peers().at(host).news;
    if (newStart) {
        // A host that has just started knows little; it need not wait for the next round.
        gossip::PeerNews own = ownNews(now);
        sendTo(own, taken.address, now);
        share(now);
    }
    m_context.quotas.notePeer(startName(taken.host, taken.start), taken.used, now);
    m_context.balancer.setPeerOutstanding(host, taken.outstanding, now);
    m_context.wallClock.notePeer(host, Duration(static_cast<Duration::rep>(taken.wallUs)), now);
    if (taken.listInReachMs && m_context.listReach.notePeer(std::chrono::milliseconds(*taken.listInReachMs), now)) {
        m_context.eventLog.write(
            "list_settled", eventlog::Importance::Belief, {{"by", host}, {"in_reach_ms", static_cast<std::int64_t>(*taken.listInReachMs)}});
        m_context.directory.settle(now);
    }
    for (const auto &[window, starts] : taken.usage) {
        for (const auto &[start, counts] : starts) {
            m_usage.note(start, window, counts);
        }
    }
    // What the peer knew when it sent this is at least as fresh as when this host sent what the peer echoes.
    if (taken.echoUs && taken.confirmedAgeMs) {
        const TimePoint sent{Duration(static_cast<Duration::rep>(*taken.echoUs))};
        m_context.configuration.confirm(taken.configuration, sent - std::chrono::milliseconds(*taken.confirmedAgeMs));
    }
    if (taken.configuration > m_context.configuration.version() && !m_fetching) {
        m_fetching = true;
        startTask(m_socket->get_executor(), fetchConfiguration(taken.address));
    }
}

net::awaitable<void> GossipEndpoint::fetchConfiguration(std::string address)
{
    const std::uint64_t before = m_context.configuration.version();
    if (before > 0) {
        co_await pause(LogHeadStart);
    }
    if (m_context.configuration.version() == before) {
        http::Request request;
        request.target = "/configuration";
        http::ClientTimeouts timeouts;
        timeouts.connect = FetchTimeout;
        timeouts.end = std::chrono::steady_clock::now() + FetchTimeout;
        http::ClientFailure failure;
        const http::Endpoint endpoint{address, m_context.settings.peerListener.port};
        const std::optional<http::Response> answer = co_await http::fetch(endpoint, std::move(request), timeouts, failure);
        if (answer && answer->status == 200) {
            m_configurations.applyText(answer->body, "peer");
        } else {
            m_context.eventLog.write("configuration_not_fetched", eventlog::Importance::Belief, {{"from", address}, {"reason", failure.detail}});
        }
    }
    m_fetching = false;
}

void GossipEndpoint::share(TimePoint now)
{
    const std::size_t hosts = m_board.hosts();
    m_context.hostCount = hosts;
    m_context.retryBudget.setHosts(hosts);
    m_context.quotas.setPooled(hosts > 1, now);
    const std::map<std::string, double> own = m_context.quotas.demand(now);
    for (const auto &[workspace, demand] : own) {
        double total = demand;
        double reserved = 0;
        std::size_t heard = 1;
        for (const auto &[host, peer] : m_board.peers()) {
            if (peer.silent) {
                reserved += m_peerShares[host][workspace];
            } else {
                total += demandOf(peer, workspace);
                ++heard;
            }
        }
        // Silent peers go on with what they may have thought to be theirs.
        const double available = std::max(1 - reserved, 0.0);
        if (!m_board.anySilent()) {
            for (const auto &[host, peer] : m_board.peers()) {
                m_peerShares[host][workspace] = limits::shareOf(demandOf(peer, workspace), total, hosts);
            }
        }
        const double part = hosts > 1 ? available * limits::shareOf(demand, total, heard) : UnsharedPart;
        m_context.quotas.setShare(workspace, part, now);
        m_context.quotas.setPooledPart(workspace, available, now);
    }
}

void GossipEndpoint::sayLeaving()
{
    const TimePoint now = hostNow();
    gossip::PeerNews last = ownNews(now);
    for (const bool leaving : {false, true}) {
        // The last counts come first, since nothing is taken from a peer that leaves.
        last.leaving = leaving;
        for (const std::string &address : m_board.addresses()) {
            sendTo(last, address, now);
        }
        ++last.sentUs;
    }
}

}
