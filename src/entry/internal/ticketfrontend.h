#pragma once

#include "bookings/bookingkeys.h"
#include "entry/internal/hostcontroller.h"
#include "entry/internal/peerview.h"
#include "http/ihttpserver.h"

#include <memory>

namespace rosemaryshift::entry {

/// Mints tickets, and passes bookings under another host's ticket on to that host. Thread-safe.
class TicketFrontend
{
public:
    TicketFrontend(HostController &controller, std::shared_ptr<PeerView> peers, std::string hostId, Duration keyWindow);

    /// Answers a caller with a new ticket of this host.
    boost::asio::awaitable<void> mint(http::IResponseWriter &writer) const;
    /// The owner named by @p key if it is a ticket of another host.
    [[nodiscard]] std::optional<std::string> foreignOwner(std::string_view key) const;
    /// Answers a booking under a ticket of @p owner: from the log if it has ended, else by asking its owner.
    boost::asio::awaitable<void> answerForeignBooking(std::string owner, requests::RequestSpec spec, http::Request request, http::IResponseWriter &writer);

private:
    [[nodiscard]] http::Response storedOutcomeResponse(const bookings::Outcome &outcome, const requests::RequestSpec &spec) const;
    boost::asio::awaitable<void> forwardToOwner(std::string owner, std::chrono::milliseconds deadline, http::Request request, http::IResponseWriter &writer);

    HostController &m_controller;
    const std::shared_ptr<PeerView> m_peers;
    const std::string m_hostId;
    const Duration m_keyWindow;
};

/// The answer of a plain service as callers get it. Thread-safe.
http::Response serviceResponse(const requests::ServiceAnswer &answer, bool idempotent);

}
