#include "gateway/internal/logrelay.h"

#include "gateway/internal/datagramsocket.h"
#include "gateway/internal/hostclock.h"
#include "relay/logreaders.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;
using net::ip::udp;

namespace {

/// Time for the answer of a reader, which may be short of processor time; then this host reads the log itself.
constexpr std::chrono::milliseconds AnswerTimeout{300};
/// A reader that has failed is not asked for this time.
constexpr std::chrono::seconds AvoidanceTime{10};
/// Number of answers to no query. Hosts of earlier versions ignore them, as queries have random numbers.
constexpr std::uint64_t Unasked = 0;
/// Time for which the choice of the readers is kept, as the hosts of the zone rarely change.
constexpr std::chrono::milliseconds ReadersLifetime{500};

}

LogRelay::LogRelay(GatewayContext &context)
    : m_context(context)
    , m_number(context.randomEngine())
{
}

bool LogRelay::open(net::io_context &ioContext, std::string &reason)
{
    if (m_context.settings.relayPort == 0) {
        return true;
    }
    m_socket = openDatagramSocket(ioContext, m_context.settings.address, m_context.settings.relayPort, reason);
    m_answerTimer.emplace(ioContext);
    return m_socket.has_value();
}

net::awaitable<void> LogRelay::receive()
{
    if (!m_socket) {
        co_return;
    }
    std::string buffer(MaxDatagramBytes, '\0');
    while (true) {
        udp::endpoint from;
        const auto [error, bytes] = co_await m_socket->async_receive_from(net::buffer(buffer), from, net::as_tuple(net::use_awaitable));
        if (error == net::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            handleDatagram(std::string_view(buffer.data(), bytes), from);
        }
    }
}

void LogRelay::handleDatagram(std::string_view datagram, const udp::endpoint &from)
{
    if (const std::optional<relay::Query> query = relay::decodedQuery(datagram)) {
        answer(*query, from);
        return;
    }
    std::optional<relay::Answer> received = relay::decodedAnswer(datagram);
    if (!received) {
        m_context.eventLog.write("relay_unreadable", eventlog::Importance::Failure, {{"from", from.address().to_string()}});
        return;
    }
    if (received->number == Unasked) {
        if (m_announcementHandler) {
            m_announcementHandler(received->configuration, from.address().to_string());
        }
    } else if (received->number == m_number) { // Others are answers to earlier queries, which have been given up.
        m_answer = std::move(*received);
        m_answerTimer->cancel();
    }
}

void LogRelay::answer(const relay::Query &query, const udp::endpoint &from)
{
    const TimePoint now = hostNow();
    relay::Answer answer;
    answer.number = query.number;
    answer.configuration = m_context.configuration.version();
    answer.era = m_context.logEra.current();
    if (const std::optional<Duration> age = m_context.configuration.age(now)) {
        answer.confirmedAge = std::chrono::ceil<std::chrono::milliseconds>(*age);
    }
    std::optional<relay::Changes> changes = m_changes.from(query.from);
    if (changes && m_listReadAt && !m_context.listAvailability.unreachable()) {
        answer.listAge = std::chrono::ceil<std::chrono::milliseconds>(now - *m_listReadAt);
        answer.changes = std::move(*changes);
    }
    boost::system::error_code error;
    m_socket->send_to(net::buffer(relay::encoded(answer)), from, 0, error);
    m_context.metrics.count("rosemaryshift_relay_total", error ? R"(event="not_sent")" : answer.listAge ? R"(event="answered")" : R"(event="unknown")");
}

void LogRelay::updateReaders(TimePoint now) const
{
    if (!m_socket || m_context.peers == nullptr || (m_readersChosenAt && now - *m_readersChosenAt < ReadersLifetime)) {
        return;
    }
    m_readersChosenAt = now;
    std::map<std::string, std::string> addresses{{m_context.settings.name, m_context.settings.address}};
    std::vector<relay::ZoneHost> hosts{{m_context.settings.name, m_context.hostLinks.own()}};
    for (const auto &[host, peer] : m_context.peers->peers()) {
        if (!peer.silent && peer.status.zone == m_context.settings.zone) {
            addresses.emplace(host, peer.status.address);
            hosts.push_back({host, m_context.hostLinks.of(gossip::hostStart(host, peer.status.start))});
        }
    }
    m_readers.clear();
    for (const std::string &host : relay::readersFor(m_context.settings.name, hosts)) {
        m_readers.push_back({host, addresses.at(host)});
    }
    m_isReader = m_readers.empty() && relay::readerCount(hosts.size()) > 0;
}

const LogRelay::Reader *LogRelay::reader(TimePoint now) const
{
    updateReaders(now);
    for (const Reader &reader : m_readers) {
        const auto avoided = m_avoidedUntil.find(reader.host);
        if (avoided == m_avoidedUntil.end() || avoided->second <= now) {
            return &reader;
        }
    }
    return nullptr;
}

bool LogRelay::hasReader(TimePoint now) const
{
    return reader(now) != nullptr;
}

bool LogRelay::isReader() const
{
    updateReaders(hostNow());
    return m_isReader;
}

void LogRelay::announceConfiguration()
{
    if (!m_socket || m_context.peers == nullptr || (!isReader() && !hasReader(hostNow()))) {
        return;
    }
    relay::Answer announcement;
    announcement.number = Unasked;
    announcement.configuration = m_context.configuration.version();
    announcement.era = m_context.logEra.current();
    const std::string datagram = relay::encoded(announcement);
    for (const auto &[host, peer] : m_context.peers->peers()) {
        boost::system::error_code error;
        const net::ip::address address = net::ip::make_address(peer.status.address, error);
        if (!error && !peer.silent && peer.status.zone == m_context.settings.zone && peer.status.configuration < announcement.configuration) {
            // A failed send is not repeated: the host also asks a reader periodically.
            m_socket->send_to(net::buffer(datagram), udp::endpoint(address, m_context.settings.relayPort), 0, error);
        }
    }
}

void LogRelay::setAnnouncementHandler(std::function<void(std::uint64_t version, const std::string &address)> handler)
{
    m_announcementHandler = std::move(handler);
}

net::awaitable<std::optional<LogRelay::Answer>> LogRelay::ask(ports::LogPosition position)
{
    const TimePoint askedAt = hostNow();
    const Reader *const preferred = reader(askedAt);
    if (preferred == nullptr) {
        co_return std::nullopt;
    }
    const Reader asked = *preferred;
    ++m_number;
    m_answer.reset();
    boost::system::error_code error;
    const net::ip::address address = net::ip::make_address(asked.address, error);
    const std::string query = relay::encoded(relay::Query{m_number, position});
    if (!error) {
        m_socket->send_to(net::buffer(query), udp::endpoint(address, m_context.settings.relayPort), 0, error);
    }
    if (!error) {
        m_answerTimer->expires_after(AnswerTimeout);
        co_await m_answerTimer->async_wait(net::as_tuple(net::use_awaitable));
    }
    const bool isOfEarlierEra = m_answer && !m_context.logEra.note(m_answer->era);
    if (!m_answer || isOfEarlierEra || !m_answer->listAge || *m_answer->listAge > m_context.listReadInterval) {
        m_avoidedUntil[asked.host] = hostNow() + AvoidanceTime;
        m_context.eventLog.write("reader_avoided",
                                 eventlog::Importance::StateChange,
                                 {{"reader", asked.host},
                                  {"reason",
                                   error                   ? error.message()
                                       : !m_answer         ? "no answer"
                                       : isOfEarlierEra    ? "it knows an earlier era of the log"
                                       : m_answer->listAge ? "its read is too old"
                                                           : "it cannot tell"}});
        co_return std::nullopt;
    }
    if (m_announcementHandler) {
        m_announcementHandler(m_answer->configuration, asked.address);
    }
    co_return Answer{std::move(*m_answer), askedAt};
}

relay::ChangeLog &LogRelay::changes()
{
    return m_changes;
}

void LogRelay::noteListRead(TimePoint startedAt)
{
    m_listReadAt = startedAt;
}

}
