#include "bookings/bookingkeys.h"
#include "bookings/ibookingfold.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::bookings;

namespace {

ClaimRecord claimOf(const std::string &owner, const std::string &id)
{
    return {"key", id, owner, "digest", 1};
}

OutcomeRecord outcomeOf(const std::string &id)
{
    OutcomeRecord record;
    record.key = "key";
    record.claim = id;
    record.outcome = {"digest", RunState::Ran, requests::ServiceAnswer{201, {{"X", "y"}}, "booked"}};
    return record;
}

}

SCENARIO("The first claim in the log holds its key until a release or an outcome")
{
    const std::unique_ptr<IBookingFold> fold = makeBookingFold();
    REQUIRE(fold->apply(10, claimOf("a", "a1")) == RecordEffect::Applied);

    GIVEN("a second host claims the key")
    {
        CHECK(fold->apply(11, claimOf("b", "b1")) == RecordEffect::Ignored);
        THEN("the first claim keeps the key, and a release or outcome of the second is ignored")
        {
            CHECK(fold->find("key")->owner == "a");
            CHECK(fold->apply(12, ReleaseRecord{"key", "b1", 1}) == RecordEffect::Ignored);
            CHECK(fold->apply(13, outcomeOf("b1")) == RecordEffect::Ignored);
            CHECK(fold->find("key")->state == BookingState::Claimed);
        }
    }
    GIVEN("the claim was released")
    {
        REQUIRE(fold->apply(11, ReleaseRecord{"key", "a1", 1}) == RecordEffect::Applied);
        THEN("the next claim holds the key, and a repeated release of the first is ignored")
        {
            CHECK(fold->apply(12, claimOf("b", "b1")) == RecordEffect::Applied);
            CHECK(fold->apply(13, ReleaseRecord{"key", "a1", 1}) == RecordEffect::Ignored);
            CHECK(fold->find("key")->owner == "b");
        }
    }
    GIVEN("the owner of the claim has reported an outcome")
    {
        REQUIRE(fold->apply(11, outcomeOf("a1")) == RecordEffect::Applied);
        THEN("a later release or claim is ignored")
        {
            CHECK(fold->apply(12, ReleaseRecord{"key", "a1", 1}) == RecordEffect::Ignored);
            CHECK(fold->apply(13, claimOf("b", "b1")) == RecordEffect::Ignored);
            CHECK(fold->find("key")->outcome.answer->body == "booked");
        }
        THEN("the row is dropped only when the log retains no record of the key")
        {
            fold->apply(20, claimOf("b", "b1"));
            fold->forget(20);
            CHECK(fold->size() == 1);
            fold->forget(21);
            CHECK(fold->size() == 0);
        }
    }
}

SCENARIO("Booking records and tickets survive a round trip, and malformed ones are rejected")
{
    const std::optional<BookingRecord> claim = bookingFromRecord(toRecord(claimOf("a", "a1")));
    REQUIRE(claim);
    CHECK(std::get<ClaimRecord>(*claim).owner == "a");
    const std::optional<BookingRecord> outcome = bookingFromRecord(toRecord(outcomeOf("a1")));
    REQUIRE(outcome);
    CHECK(std::get<OutcomeRecord>(*outcome).outcome.answer->headers == outcomeOf("a1").outcome.answer->headers);
    CHECK_FALSE(bookingFromRecord(R"({"kind":"template"})"));
    CHECK_FALSE(bookingFromRecord(R"({"kind":"booking_claim","key":"k","claim":"","at_ms":1,"owner":"a","digest":"d"})"));

    const std::string text = mintTicket("entry-1.abc", 1'700'000'000'000);
    const std::optional<Ticket> ticket = parseTicket(text);
    REQUIRE(ticket);
    CHECK(ticket->owner == "entry-1.abc");
    CHECK(keyCreatedAtMs(text) == 1'700'000'000'000);
    CHECK(mintTicket("entry-1.abc", 1'700'000'000'000) != text);
    for (const char *malformed : {"rst:", "rst:a:b", "rst::1:x", "rst:a:x:y", "rst:a:1:"}) {
        CHECK_FALSE(parseTicket(malformed));
    }
    CHECK(keyCreatedAtMs("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == 1645557742000);
    CHECK_FALSE(keyCreatedAtMs("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    CHECK_FALSE(keyCreatedAtMs("pickup-7"));
}
