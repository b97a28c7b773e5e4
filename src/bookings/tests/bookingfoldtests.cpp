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

SCENARIO("Hosts claim one key in the log")
{
    const std::unique_ptr<IBookingFold> fold = makeBookingFold();
    REQUIRE(fold->apply(10, claimOf("a", "a1")) == RecordVerdict::Effective);

    GIVEN("a second claim")
    {
        CHECK(fold->apply(11, claimOf("b", "b1")) == RecordVerdict::Lost);
        THEN("the first keeps the key")
        {
            CHECK(fold->find("key")->owner == "a");
            CHECK(fold->apply(12, ReleaseRecord{"key", "b1", 1}) == RecordVerdict::Lost);
            CHECK(fold->apply(13, outcomeOf("b1")) == RecordVerdict::Lost);
            CHECK(fold->find("key")->state == BookingState::Claimed);
        }
    }
    GIVEN("a release")
    {
        REQUIRE(fold->apply(11, ReleaseRecord{"key", "a1", 1}) == RecordVerdict::Effective);
        THEN("the next claim wins, and a late second release changes nothing")
        {
            CHECK(fold->apply(12, claimOf("b", "b1")) == RecordVerdict::Effective);
            CHECK(fold->apply(13, ReleaseRecord{"key", "a1", 1}) == RecordVerdict::Lost);
            CHECK(fold->find("key")->owner == "b");
        }
    }
    GIVEN("an outcome")
    {
        REQUIRE(fold->apply(11, outcomeOf("a1")) == RecordVerdict::Effective);
        THEN("it is the first and the last")
        {
            CHECK(fold->apply(12, ReleaseRecord{"key", "a1", 1}) == RecordVerdict::Lost);
            CHECK(fold->apply(13, claimOf("b", "b1")) == RecordVerdict::Lost);
            CHECK(fold->find("key")->outcome.answer->body == "booked");
        }
        THEN("it is forgotten only when no record about the key is kept")
        {
            fold->apply(20, claimOf("b", "b1"));
            fold->forget(20);
            CHECK(fold->size() == 1);
            fold->forget(21);
            CHECK(fold->size() == 0);
        }
    }
}

SCENARIO("Booking records and keys are read back as they were written")
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
