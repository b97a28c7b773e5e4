#pragma once

#include "bookings/bookingkeys.h"
#include "entry/internal/hostcontroller.h"
#include "entry/internal/peerview.h"
#include "http/ihttpserver.h"

#include <memory>

namespace rosemaryshift::entry {

/// Issues tickets and forwards bookings with another host's ticket to that host. Thread-safe.
class TicketFrontend
{
public:
    TicketFrontend(HostController &controller, std::shared_ptr<PeerView> peers, std::string hostId, Duration keyWindow);

    /// Responds with a new ticket of this host.
    boost::asio::awaitable<void> mint(http::IResponseWriter &writer) const;
    /// The owner of the ticket @p key when it is another host or incarnation; nothing when the key is no ticket or this host's own.
    [[nodiscard]] std::optional<std::string> foreignOwner(std::string_view key) const;
    /// Answers a booking with a ticket of @p owner: with the outcome in the log if there is one, else by forwarding it to the owner.
    boost::asio::awaitable<void> answerForeignBooking(std::string owner, requests::RequestSpec spec, http::Request request, http::IResponseWriter &writer);

private:
    [[nodiscard]] http::Response storedOutcomeResponse(const bookings::Outcome &outcome, const requests::RequestSpec &spec) const;
    boost::asio::awaitable<void> forwardToOwner(std::string owner, std::chrono::milliseconds deadline, http::Request request, http::IResponseWriter &writer);

    HostController &m_controller;
    const std::shared_ptr<PeerView> m_peers;
    const std::string m_hostId;
    const Duration m_keyWindow;
};

/// Converts the answer of a plain service to the response for the caller. Thread-safe.
http::Response serviceResponse(const requests::ServiceAnswer &answer, bool idempotent);

}
