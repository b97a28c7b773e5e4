#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "relay/relaymessages.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace rosemaryshift::gateway {

/// Exchanges with other gateways of the availability zone what some of them have read from the platform's log, so that the calls to the log do not grow with
/// the number of hosts. The readers are no authority: a host whose question is not answered in time, or not by what it needs, reads the log itself. Used from
/// the gateway's thread.
class LogRelay
{
public:
    /// An answer of a reader, with the time at which it was asked; the ages in the answer count back from there.
    struct Answer {
        relay::Answer content;
        TimePoint askedAt;
    };

    explicit LogRelay(GatewayContext &context);

    /// Binds the socket; does nothing when no port is set. Returns false, and sets @p reason, when that fails.
    bool open(boost::asio::io_context &ioContext, std::string &reason);
    /// Answers the questions of other hosts and receives their answers until the socket is closed.
    boost::asio::awaitable<void> receive();

    /// Whether this host asks another one instead of reading the log.
    [[nodiscard]] bool hasReader(TimePoint now) const;
    /// Whether hosts of this zone may ask this one.
    [[nodiscard]] bool isReader() const;
    /// Asks a reader for the changes of the list of upstreams from @p position on. Returns nothing when none answers in time, or it cannot tell. Precondition:
    /// no other call is pending.
    boost::asio::awaitable<std::optional<Answer>> ask(ports::LogPosition position);

    /// Tells the hosts of this availability zone which version of the configuration is in force here, without being asked. Does nothing in a small zone, where
    /// each host reads the log.
    void announceConfiguration();
    /// Sets what is called with the version of the configuration that is in force at another host of the zone, and its address.
    void setAnnouncementHandler(std::function<void(std::uint64_t version, const std::string &address)> handler);

    /// The changes that this host knows.
    [[nodiscard]] relay::ChangeLog &changes();
    /// Notes that a read of the list by this host, which began at @p startedAt, succeeded.
    void noteListRead(TimePoint startedAt);

private:
    struct Reader {
        std::string host;
        std::string address;
    };

    /// The preferred reader that has not failed lately; null when this host reads the log itself.
    [[nodiscard]] const Reader *reader(TimePoint now) const;
    /// Chooses the readers anew out of the hosts of this availability zone that are heard, unless that was done a short time ago.
    void updateReaders(TimePoint now) const;
    void handleDatagram(std::string_view datagram, const boost::asio::ip::udp::endpoint &from);
    void answer(const relay::Query &query, const boost::asio::ip::udp::endpoint &from);

    GatewayContext &m_context;
    std::optional<boost::asio::ip::udp::socket> m_socket;
    std::optional<boost::asio::steady_timer> m_answerTimer;
    relay::ChangeLog m_changes;
    std::optional<TimePoint> m_listReadAt; ///< Beginning of the last read of the list by this host itself.
    std::uint64_t m_number = 0;            ///< Of the last query.
    std::optional<relay::Answer> m_answer; ///< To the last query.
    std::function<void(std::uint64_t version, const std::string &address)> m_announcementHandler;
    mutable std::vector<Reader> m_readers; ///< That this host may ask, the preferred one first.
    mutable bool m_isReader = false;
    mutable std::optional<TimePoint> m_readersChosenAt;
    std::map<std::string, TimePoint> m_avoidedUntil; ///< Readers that have failed, by host.
};

}
