#include "support/bookings.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

SCENARIO("The log's answer to a claim is lost")
{
    Fleet fleet(bookingOptions());
    const int deadlineMs = GENERATE(0, 300);
    fleet.entry(0).platformRelay->holdAnswers();
    PendingExchange first(fleet.entry(0).callers, booking("pickup", "crate 7", deadlineMs));
    awaitLogged(fleet, "booking_claim", 1);
    fleet.entry(0).platformRelay->cut();
    if (deadlineMs == 0) {
        // The claim is found in the log and not repeated.
        fleet.entry(0).platformRelay->heal();
        const std::optional<http::Response> answer = first.awaitEnd();
        REQUIRE(answer);
        CHECK(runStatusOf(*answer) == "ran");
        CHECK(loggedRecordCount(fleet, "booking_claim") == 1);
    } else {
        // The caller is told unknown, and the claim is given back when it turns up.
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

SCENARIO("The log is out")
{
    Fleet fleet(bookingOptions());
    const std::string ticket = requestTicket(fleet, 0);
    Fleet::setFailureMode(fleet.platform(), "down");
    GIVEN("a booking under the caller's own key")
    {
        const http::Response refused = bookWithShortDeadline(fleet, 0, "pickup");
        THEN("it is refused, and runs once the log is back")
        {
            CHECK(errorCodeOf(refused) == "log_unreachable");
            CHECK(runStatusOf(refused) == "unknown");
            CHECK(runCountOf(fleet, "pickup") == 0);
            Fleet::setFailureMode(fleet.platform(), "none");
            CHECK(runStatusOf(bookUntil(fleet, 1, "pickup", 200)) == "ran");
            CHECK(runCountOf(fleet, "pickup") == 1);
        }
    }
    GIVEN("a booking under a ticket")
    {
        const http::Response first = book(fleet, 0, ticket);
        REQUIRE(first.status == 200);
        THEN("every host gives the first answer, the owner's while it lives")
        {
            CHECK(book(fleet, 0, ticket).body == first.body);
            CHECK(bookUntil(fleet, 1, ticket, 200).body == first.body);
            CHECK(runCountOf(fleet, ticket) == 1);
        }
        THEN("the log gives it once it is back, also when the owner is gone")
        {
            Fleet::setFailureMode(fleet.platform(), "none");
            awaitLogged(fleet, "booking_outcome", 1);
            fleet.entry(0).process->signal(SIGKILL);
            CHECK(bookUntil(fleet, 1, ticket, 200).body == first.body);
            CHECK(runCountOf(fleet, ticket) == 1);
        }
        THEN("an owner that is gone leaves it unknown")
        {
            fleet.entry(0).process->signal(SIGKILL);
            fleet.entry(0).process->awaitExit();
            const http::Response again = bookWithShortDeadline(fleet, 1, ticket);
            CHECK(errorCodeOf(again) == "owner_silent");
            CHECK(runStatusOf(again) == "unknown");
            CHECK(runCountOf(fleet, ticket) == 1);
        }
    }
    GIVEN("a ticket of a host that stands still")
    {
        fleet.entry(0).process->freeze();
        CHECK(runStatusOf(bookWithShortDeadline(fleet, 1, ticket)) == "unknown");
        THEN("it runs at most once when the host goes on")
        {
            fleet.entry(0).process->signal(SIGCONT);
            CHECK(runStatusOf(book(fleet, 0, ticket)) == "ran");
            CHECK(runCountOf(fleet, ticket) == 1);
        }
    }
}

SCENARIO("The log is slow")
{
    Fleet fleet(bookingOptions());
    Fleet::setFailureMode(fleet.platform(), "slow", "\"factor\":100");
    const http::Response first = bookUntil(fleet, 0, "pickup", 200);
    CHECK(bookUntil(fleet, 1, "pickup", 200).body == first.body);
    CHECK(runCountOf(fleet, "pickup") == 1);
}

SCENARIO("The log has dropped records that a host has not read")
{
    Fleet fleet(bookingOptions());
    fleet.entry(0).platformRelay->hold();
    REQUIRE(book(fleet, 1, "pickup").status == 200);
    awaitLogged(fleet, "booking_outcome", 1);
    REQUIRE(exchange(fleet.platform(), makeRequest("PUT", "/standin/truncate", "{\"oldest\":100}")).status == 200);
    fleet.entry(0).platformRelay->cut();
    fleet.entry(0).platformRelay->heal();
    awaitCondition("the gap", [&] { return errorCodeOf(book(fleet, 0, "pickup")) == "log_gap"; });
    CHECK(runStatusOf(book(fleet, 0, "pickup")) == "unknown");
    CHECK(runCountOf(fleet, "pickup") == 1);
    CHECK(book(fleet, 1, "pickup").status == 200);
    CHECK(runStatusOf(book(fleet, 0, requestTicket(fleet, 0))) == "ran");
    CHECK(runCountOf(fleet, "pickup") == 1);
}

SCENARIO("A zone is cut off from its peers and the platform, and callers use one key on both sides")
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
    awaitCondition("the owner lost to its peer", [&] { return runStatusOf(bookWithShortDeadline(fleet, 1, ticket)) == "unknown"; });
    CHECK(runCountOf(fleet, ticket) == 1);

    fleet.entry(0).platformRelay->heal();
    CHECK(bookUntil(fleet, 1, ticket, 200).body == own->body);
    CHECK(runCountOf(fleet, ticket) == 1);
    CHECK(bookUntil(fleet, 0, "pickup", 200).body == outside.body);
    CHECK(runCountOf(fleet, "pickup") == 1);
}
