#include "support/bookings.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

SCENARIO("The platform's log stores a booking claim and its answer to the host is lost")
{
    Fleet fleet(bookingOptions());
    const int deadlineMs = GENERATE(0, 300);
    fleet.entry(0).platformRelay->holdAnswers();
    PendingExchange first(fleet.entry(0).callers, booking("pickup", "crate 7", deadlineMs));
    awaitLogged(fleet, "booking_claim", 1);
    fleet.entry(0).platformRelay->cut();
    if (deadlineMs == 0) {
        // The host finds its claim in the log and does not append it again.
        fleet.entry(0).platformRelay->heal();
        const std::optional<http::Response> answer = first.awaitEnd();
        REQUIRE(answer);
        CHECK(runStatusOf(*answer) == "ran");
        CHECK(loggedRecordCount(fleet, "booking_claim") == 1);
    } else {
        // The deadline passes first: the caller is told that the outcome is unknown, and the host releases the claim when it
        // reads it from the log.
        const std::optional<http::Response> answer = first.awaitEnd();
        REQUIRE(answer);
        CHECK(errorCodeOf(*answer) == "log_unreachable");
        CHECK(runStatusOf(*answer) == "unknown");
        fleet.entry(0).platformRelay->heal();
        awaitLogged(fleet, "booking_release", 1);
        CHECK(runCountOf(fleet, "pickup") == 0);
        CHECK(runStatusOf(bookUntil(fleet, 1, "pickup", 200)) == "ran");
    }
    CHECK(runCountOf(fleet, "pickup") == 1);
}

SCENARIO("Bookings while the platform's log is unreachable")
{
    Fleet fleet(bookingOptions());
    const std::string ticket = requestTicket(fleet, 0);
    Fleet::setFailureMode(fleet.platform(), "down");
    GIVEN("a booking under the caller's own key")
    {
        const http::Response refused = bookWithShortDeadline(fleet, 0, "pickup");
        THEN("it is refused without running, and a retry runs once the log is reachable again")
        {
            CHECK(errorCodeOf(refused) == "log_unreachable");
            CHECK(runStatusOf(refused) == "unknown");
            CHECK(runCountOf(fleet, "pickup") == 0);
            Fleet::setFailureMode(fleet.platform(), "none");
            CHECK(runStatusOf(bookUntil(fleet, 1, "pickup", 200)) == "ran");
            CHECK(runCountOf(fleet, "pickup") == 1);
        }
    }
    GIVEN("a booking that has run under a ticket")
    {
        const http::Response first = book(fleet, 0, ticket);
        REQUIRE(first.status == 200);
        THEN("a retry through any host gets the first answer while the ticket's owner is alive")
        {
            CHECK(book(fleet, 0, ticket).body == first.body);
            CHECK(bookUntil(fleet, 1, ticket, 200).body == first.body);
            CHECK(runCountOf(fleet, ticket) == 1);
        }
        THEN("once the log is reachable again, it stores the answer, and a retry gets it even when the owner has been killed")
        {
            Fleet::setFailureMode(fleet.platform(), "none");
            awaitLogged(fleet, "booking_outcome", 1);
            fleet.entry(0).process->signal(SIGKILL);
            CHECK(bookUntil(fleet, 1, ticket, 200).body == first.body);
            CHECK(runCountOf(fleet, ticket) == 1);
        }
        THEN("when the owner has been killed, a retry is told that the outcome is unknown")
        {
            fleet.entry(0).process->signal(SIGKILL);
            fleet.entry(0).process->awaitExit();
            const http::Response again = bookWithShortDeadline(fleet, 1, ticket);
            CHECK(errorCodeOf(again) == "owner_silent");
            CHECK(runStatusOf(again) == "unknown");
            CHECK(runCountOf(fleet, ticket) == 1);
        }
    }
    GIVEN("a ticket of a host that is frozen")
    {
        fleet.entry(0).process->freeze();
        CHECK(runStatusOf(bookWithShortDeadline(fleet, 1, ticket)) == "unknown");
        THEN("the booking runs exactly once when the host continues and the caller retries there")
        {
            fleet.entry(0).process->signal(SIGCONT);
            CHECK(runStatusOf(book(fleet, 0, ticket)) == "ran");
            CHECK(runCountOf(fleet, ticket) == 1);
        }
    }
}

SCENARIO("Bookings through two hosts while the platform's log is slow")
{
    Fleet fleet(bookingOptions());
    Fleet::setFailureMode(fleet.platform(), "slow", "\"factor\":100");
    const http::Response first = bookUntil(fleet, 0, "pickup", 200);
    CHECK(bookUntil(fleet, 1, "pickup", 200).body == first.body);
    CHECK(runCountOf(fleet, "pickup") == 1);
}

SCENARIO("The platform's log has dropped records that a host has not read")
{
    Fleet fleet(bookingOptions());
    fleet.entry(0).platformRelay->hold();
    REQUIRE(book(fleet, 1, "pickup").status == 200);
    awaitLogged(fleet, "booking_outcome", 1);
    REQUIRE(exchange(fleet.platform(), makeRequest("PUT", "/standin/truncate", "{\"oldest\":100}")).status == 200);
    fleet.entry(0).platformRelay->cut();
    fleet.entry(0).platformRelay->heal();
    awaitCondition("the host to refuse bookings because of the gap in the log", [&] { return errorCodeOf(book(fleet, 0, "pickup")) == "log_gap"; });
    CHECK(runStatusOf(book(fleet, 0, "pickup")) == "unknown");
    CHECK(runCountOf(fleet, "pickup") == 1);
    CHECK(book(fleet, 1, "pickup").status == 200);
    CHECK(runStatusOf(book(fleet, 0, requestTicket(fleet, 0))) == "ran");
    CHECK(runCountOf(fleet, "pickup") == 1);
}

SCENARIO("A zone is cut off from its peers and the platform, and callers use one idempotency key on both sides")
{
    Fleet fleet(bookingOptions());
    const std::string ticket = requestTicket(fleet, 0);
    fleet.entry(0).platformRelay->cut();
    fleet.entry(0).peerRelay->cut();
    fleet.entry(1).peerRelay->cut();
    const http::Response inside = bookWithShortDeadline(fleet, 0, "pickup");
    const http::Response outside = book(fleet, 1, "pickup");
    CHECK(runStatusOf(inside) == "unknown");
    CHECK(runStatusOf(outside) == "ran");
    CHECK(runCountOf(fleet, "pickup") == 1);

    PendingExchange ticketInside(fleet.entry(0).callers, booking(ticket));
    const std::optional<http::Response> own = ticketInside.awaitEnd();
    REQUIRE(own);
    CHECK(own->status == 200);
    awaitCondition("the peer to report that the outcome at the ticket's owner is unknown",
                   [&] { return runStatusOf(bookWithShortDeadline(fleet, 1, ticket)) == "unknown"; });
    CHECK(runCountOf(fleet, ticket) == 1);

    fleet.entry(0).platformRelay->heal();
    CHECK(bookUntil(fleet, 1, ticket, 200).body == own->body);
    CHECK(runCountOf(fleet, ticket) == 1);
    CHECK(bookUntil(fleet, 0, "pickup", 200).body == outside.body);
    CHECK(runCountOf(fleet, "pickup") == 1);
}
