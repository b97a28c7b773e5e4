#include "entry/internal/ticketfrontend.h"

#include "base/json.h"
#include "base/text.h"
#include "entry/internal/bookingrefusals.h"
#include "entry/internal/forwarder.h"
#include "entry/internal/refusals.h"

namespace rosemaryshift::entry {

namespace net = boost::asio;
using bookings::BookingRefusal;
using http::Response;

namespace {

constexpr std::string_view RunHeader = "Rosemaryshift-Run";
constexpr int Created = 201;

Response refusalFor(BookingRefusal code, RunState run, std::optional<Duration> retryAfter = std::nullopt)
{
    return refusalResponse(refusalOf(bookings::RefuseBooking{{}, code, run, retryAfter}), {});
}

}

TicketFrontend::TicketFrontend(HostController &controller, std::shared_ptr<PeerView> peers, std::string hostId, Duration keyWindow)
    : m_controller(controller)
    , m_peers(std::move(peers))
    , m_hostId(std::move(hostId))
    , m_keyWindow(keyWindow)
{
}

net::awaitable<void> TicketFrontend::mint(http::IResponseWriter &writer) const
{
    Json::Value object;
    object["ticket"] = bookings::mintTicket(m_hostId, timeline::systemWallMs());
    object["valid_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(m_keyWindow).count());
    Response response;
    response.status = Created;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("Cache-Control", "no-store");
    response.body = toText(object);
    co_await writer.respond(std::move(response));
}

std::optional<std::string> TicketFrontend::foreignOwner(std::string_view key) const
{
    const std::optional<bookings::Ticket> ticket = bookings::parseTicket(key);
    return ticket && ticket->owner != m_hostId ? std::optional<std::string>(ticket->owner) : std::nullopt;
}

net::awaitable<void> TicketFrontend::answerForeignBooking(std::string owner, requests::RequestSpec spec, http::Request request, http::IResponseWriter &writer)
{
    const std::optional<bookings::Outcome> outcome = co_await m_controller.bookingOutcome(bookings::keyDigest(spec));
    if (outcome) {
        Response response = storedOutcomeResponse(*outcome, spec);
        co_await writer.respond(std::move(response));
        co_return;
    }
    co_await forwardToOwner(std::move(owner), spec.deadline, std::move(request), writer);
}

Response TicketFrontend::storedOutcomeResponse(const bookings::Outcome &outcome, const requests::RequestSpec &spec) const
{
    if (outcome.digest != bookings::requestDigest(spec)) {
        return refusalFor(BookingRefusal::KeyReused, RunState::NotRun);
    }
    if (outcome.run != RunState::Ran) {
        return refusalFor(BookingRefusal::OutcomeUnknown, RunState::Unknown);
    }
    return outcome.answer ? serviceResponse(*outcome.answer, false) : refusalFor(BookingRefusal::AnswerNotKept, RunState::Ran);
}

net::awaitable<void> TicketFrontend::forwardToOwner(std::string owner, std::chrono::milliseconds deadline, http::Request request, http::IResponseWriter &writer)
{
    const std::optional<membership::Peer> peer = isForwarded(request) ? std::nullopt : m_peers->findByHostId(owner);
    if (peer) {
        const ForwardResult result = co_await forward(peer->callerEndpoint, std::move(request), writer, deadline);
        if (result == ForwardResult::Answered || result == ForwardResult::Broken) {
            co_return;
        }
    }
    // Even if this attempt did not reach the owner, an earlier one may have run there.
    Response response = refusalFor(BookingRefusal::OwnerSilent, RunState::Unknown, std::chrono::seconds(1));
    co_await writer.respond(std::move(response));
}

Response serviceResponse(const requests::ServiceAnswer &answer, bool idempotent)
{
    Response response;
    response.status = answer.status;
    for (const auto &[name, value] : answer.headers) {
        http::Headers probe;
        probe.add(name, "");
        if (!probe.find(RunHeader)) {
            response.headers.add(name, value);
        }
    }
    if (!idempotent) {
        response.headers.add(RunHeader, name(RunState::Ran));
    }
    response.body = answer.body;
    return response;
}

}
