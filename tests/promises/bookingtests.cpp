#include "support/bookings.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

SCENARIO("A caller retries a booking through another host")
{
    Fleet fleet(bookingOptions());
    GIVEN("a first attempt that the service has begun and not yet answered")
    {
        for (std::size_t i = 0; i < fleet.services(); ++i) {
            fleet.service(i).relay->holdAnswers();
        }
        PendingExchange first(fleet.entry(0).callers, booking("pickup", "crate 7"));
        awaitRunCount(fleet, "pickup", 1);
        WHEN("the caller retries through the same and through the other host before the answer")
        {
            PendingExchange second(fleet.entry(0).callers, booking("pickup", "crate 7"));
            const http::Response third = bookWithShortDeadline(fleet, 1, "pickup");
            THEN("the other host reports an unknown outcome, and later both hosts give the same answer to one run")
            {
                CHECK(third.status == 503);
                CHECK(errorCodeOf(third) == "owner_silent");
                CHECK(runStatusOf(third) == "unknown");
                for (std::size_t i = 0; i < fleet.services(); ++i) {
                    fleet.service(i).relay->resume();
                }
                const std::optional<http::Response> answer = first.awaitEnd();
                REQUIRE(answer);
                CHECK(runStatusOf(*answer) == "ran");
                CHECK(second.awaitEnd()->body == answer->body);
                CHECK(bookUntil(fleet, 1, "pickup", 200).body == answer->body);
                CHECK(runCountOf(fleet, "pickup") == 1);
            }
        }
        WHEN("the host that owns the booking is killed")
        {
            fleet.entry(0).process->signal(SIGKILL);
            fleet.entry(0).process->awaitExit();
            CHECK_FALSE(first.awaitEnd());
            THEN("the other host reports an unknown outcome and does not run the booking")
            {
                const http::Response again = bookWithShortDeadline(fleet, 1, "pickup");
                CHECK(runStatusOf(again) == "unknown");
                CHECK(runCountOf(fleet, "pickup") == 1);
            }
        }
        WHEN("the connections to the services are cut")
        {
            for (std::size_t i = 0; i < fleet.services(); ++i) {
                fleet.service(i).relay->cut();
            }
            const std::optional<http::Response> answer = first.awaitEnd();
            for (std::size_t i = 0; i < fleet.services(); ++i) {
                fleet.service(i).relay->heal();
            }
            THEN("no host sends the booking again, and every host reports an unknown outcome")
            {
                REQUIRE(answer);
                CHECK(answer->status == 504);
                CHECK(runStatusOf(*answer) == "unknown");
                CHECK(errorCodeOf(bookUntil(fleet, 0, "pickup", 504)) == "outcome_unknown");
                CHECK(runStatusOf(bookUntil(fleet, 1, "pickup", 504)) == "unknown");
                CHECK(runCountOf(fleet, "pickup") == 1);
            }
        }
    }
    GIVEN("a service that answers only after the deadline")
    {
        for (std::size_t i = 0; i < fleet.services(); ++i) {
            fleet.service(i).relay->holdAnswers();
        }
        PendingExchange first(fleet.entry(0).callers, booking("pickup", "crate 7", 3'000));
        awaitRunCount(fleet, "pickup", 1);
        const std::optional<http::Response> answer = first.awaitEnd();
        for (std::size_t i = 0; i < fleet.services(); ++i) {
            fleet.service(i).relay->resume();
        }
        THEN("the outcome stays unknown on both hosts after the late answer, and a retry does not run the booking again")
        {
            REQUIRE(answer);
            CHECK(runStatusOf(*answer) == "unknown");
            CHECK(runStatusOf(bookUntil(fleet, 0, "pickup", 504)) == "unknown");
            CHECK(runStatusOf(bookUntil(fleet, 1, "pickup", 504)) == "unknown");
            CHECK(runCountOf(fleet, "pickup") == 1);
        }
    }
    GIVEN("a first attempt that has completed")
    {
        const http::Response first = book(fleet, 0, "pickup");
        REQUIRE(first.status == 200);
        THEN("each host repeats the first answer, and refuses a different request under the same key")
        {
            CHECK(book(fleet, 0, "pickup").body == first.body);
            CHECK(bookUntil(fleet, 1, "pickup", 200).body == first.body);
            const http::Response other = book(fleet, 1, "pickup", "crate 8");
            CHECK(other.status == 422);
            CHECK(errorCodeOf(other) == "idempotency_key_reused");
            CHECK(runCountOf(fleet, "pickup") == 1);
        }
        THEN("the other host repeats the answer after the first host has been killed")
        {
            awaitLogged(fleet, "booking_outcome", 1);
            fleet.entry(0).process->signal(SIGKILL);
            CHECK(bookUntil(fleet, 1, "pickup", 200).body == first.body);
            CHECK(runCountOf(fleet, "pickup") == 1);
        }
    }
    GIVEN("no upstream that can run the booking")
    {
        unlistServices(fleet, 0);
        const http::Response first = book(fleet, 0, "pickup");
        THEN("the booking is refused as not run, and a retry through another host runs it once services are back")
        {
            CHECK(errorCodeOf(first) == "no_upstream");
            CHECK(runStatusOf(first) == "not-run");
            CHECK(runCountOf(fleet, "pickup") == 0);
            fleet.publishHosts();
            CHECK(runStatusOf(bookUntil(fleet, 1, "pickup", 200)) == "ran");
            CHECK(runCountOf(fleet, "pickup") == 1);
        }
    }
}

SCENARIO("A host is frozen between claiming a booking and dispatching it")
{
    Fleet fleet(bookingOptions());
    EntryProcess &owner = fleet.entry(0);
    const int deadlineMs = GENERATE(0, 200);
    owner.platformRelay->holdAnswers();
    PendingExchange first(owner.callers, booking("pickup", "crate 7", deadlineMs));
    awaitLogged(fleet, "booking_claim", 1);
    owner.process->freeze();
    owner.platformRelay->resume();
    const http::Response second = bookWithShortDeadline(fleet, 1, "pickup");
    CHECK(errorCodeOf(second) == "owner_silent");
    CHECK(runStatusOf(second) == "unknown");
    CHECK(runCountOf(fleet, "pickup") == 0);

    owner.process->signal(SIGCONT);
    const std::optional<http::Response> answer = first.awaitEnd();
    REQUIRE(answer);
    if (deadlineMs == 0) {
        CHECK(runStatusOf(*answer) == "ran");
        CHECK(bookUntil(fleet, 1, "pickup", 200).body == answer->body);
    } else {
        // The status is "unknown" when the host noticed that the deadline had passed before it read its claim from the log.
        CHECK((runStatusOf(*answer) == "not-run" || runStatusOf(*answer) == "unknown"));
        awaitLogged(fleet, "booking_release", 1);
        CHECK(runCountOf(fleet, "pickup") == 0);
        CHECK(runStatusOf(bookUntil(fleet, 1, "pickup", 200)) == "ran");
    }
    CHECK(runCountOf(fleet, "pickup") == 1);
}

SCENARIO("A host is killed between claiming a booking and dispatching it")
{
    Fleet fleet(bookingOptions());
    fleet.entry(0).platformRelay->holdAnswers();
    PendingExchange first(fleet.entry(0).callers, booking("pickup"));
    awaitLogged(fleet, "booking_claim", 1);
    fleet.entry(0).process->signal(SIGKILL);
    CHECK_FALSE(first.awaitEnd());
    const http::Response second = bookWithShortDeadline(fleet, 1, "pickup");
    CHECK(errorCodeOf(second) == "owner_silent");
    CHECK(runStatusOf(second) == "unknown");
    CHECK(runCountOf(fleet, "pickup") == 0);
}

SCENARIO("Two hosts claim the same idempotency key at the same time")
{
    Fleet fleet(bookingOptions());
    fleet.entry(0).platformRelay->holdAnswers();
    fleet.entry(1).platformRelay->holdAnswers();
    PendingExchange first(fleet.entry(0).callers, booking("pickup"));
    PendingExchange second(fleet.entry(1).callers, booking("pickup"));
    awaitLogged(fleet, "booking_claim", 2);
    fleet.entry(0).platformRelay->resume();
    fleet.entry(1).platformRelay->resume();
    const std::optional<http::Response> one = first.awaitEnd();
    const std::optional<http::Response> two = second.awaitEnd();
    REQUIRE(one);
    REQUIRE(two);
    CHECK(one->body == two->body);
    CHECK(runStatusOf(*one) == "ran");
    CHECK(runCountOf(fleet, "pickup") == 1);
}
