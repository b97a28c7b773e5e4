#include "bookings/ibookingcoordinator.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::bookings;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

/// A host's coordinator, to which a test posts events.
class Host
{
public:
    explicit Host(std::string owner = "a")
        : m_owner(std::move(owner))
    {
        BookingPolicy policy;
        policy.owner = m_owner;
        coordinator = makeBookingCoordinator(policy);
    }

    /// Posts @p events, ticks at @p ms and returns the actions of type T.
    template <typename T>
    std::vector<T> actionsAfter(int ms, const std::vector<BookingEvent> &events)
    {
        std::vector<T> found;
        for (const BookingEvent &event : events) {
            coordinator->post(event);
        }
        for (const BookingAction &action : coordinator->tick(at(ms))) {
            if (const T *const typed = std::get_if<T>(&action)) {
                found.push_back(*typed);
            }
        }
        return found;
    }

    static BookingArrived arrival(std::uint64_t request, const std::string &digest = "digest", bool ticket = false)
    {
        return {static_cast<RequestId>(request), "key", digest, at(10'000), ticket, std::nullopt};
    }

    static LogRead upToDate(std::uint64_t next = 0)
    {
        return {0, next, true};
    }

    std::unique_ptr<IBookingCoordinator> coordinator;

private:
    const std::string m_owner;
};

ClaimRecord otherHostsClaim()
{
    return {"key", "b:1", "b", "digest", 0};
}

RunEnded runEnded(std::uint64_t request)
{
    return {static_cast<RequestId>(request), RunState::Ran, requests::ServiceAnswer{200, {}, "booked"}};
}

}

SCENARIO("A booking is dispatched only after its claim was read from the log as the first one")
{
    Host host;
    host.actionsAfter<ReportBookingStep>(0, {Host::upToDate()});
    const std::vector<AppendRecords> appends = host.actionsAfter<AppendRecords>(1, {Host::arrival(1)});
    REQUIRE(appends.size() == 1);
    const ClaimRecord claim = std::get<ClaimRecord>(appends[0].records.at(0));
    CHECK(host.actionsAfter<DispatchBooking>(2, {AppendEnded{appends[0].batch, AppendOutcome::Appended}}).empty());

    GIVEN("the host's claim is the first one in the log")
    {
        REQUIRE(host.actionsAfter<DispatchBooking>(3, {RecordRead{0, claim, Duration(0)}}).size() == 1);
        WHEN("a second request with the key arrives while the first one runs")
        {
            CHECK(host.actionsAfter<DispatchBooking>(4, {Host::arrival(2)}).empty());
            THEN("the second request and a third one after the end get the answer of the first one")
            {
                const std::vector<AnswerBooking> answers = host.actionsAfter<AnswerBooking>(5, {runEnded(1), Host::arrival(3)});
                REQUIRE(answers.size() == 2);
                CHECK(answers[0].answer.body == "booked");
            }
        }
        WHEN("a request with the same key and another digest arrives")
        {
            const std::vector<RefuseBooking> refusals = host.actionsAfter<RefuseBooking>(4, {Host::arrival(2, "another")});
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].code == BookingRefusal::KeyReused);
        }
        WHEN("the dispatched request ends without having run")
        {
            const std::vector<AppendRecords> release
                = host.actionsAfter<AppendRecords>(10, {RunEnded{static_cast<RequestId>(1), RunState::NotRun, std::nullopt}});
            REQUIRE(release.size() == 1);
            THEN("the claim is released, and the key is claimed again only after the release was read")
            {
                CHECK(host.actionsAfter<AppendRecords>(20, {Host::arrival(2)}).empty());
                const std::vector<AppendRecords> again = host.actionsAfter<AppendRecords>(30, {RecordRead{1, release[0].records.at(0), Duration(0)}});
                REQUIRE(again.size() == 1);
                CHECK(std::holds_alternative<ClaimRecord>(again[0].records.at(0)));
            }
        }
        WHEN("the outcome of the dispatched request is unknown")
        {
            host.actionsAfter<ReportBookingStep>(4, {RunEnded{static_cast<RequestId>(1), RunState::Unknown, std::nullopt}});
            const std::vector<RefuseBooking> refusals = host.actionsAfter<RefuseBooking>(5, {Host::arrival(2)});
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].run == RunState::Unknown);
        }
    }
    GIVEN("the claim is read from the log after the request's deadline")
    {
        const std::vector<RefuseBooking> refusals = host.actionsAfter<RefuseBooking>(10'000, {RecordRead{0, claim, Duration(0)}});
        THEN("the request is refused as not run")
        {
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].code == BookingRefusal::DeadlinePassed);
            CHECK(refusals[0].run == RunState::NotRun);
        }
    }
    GIVEN("another host's claim is the first one in the log")
    {
        CHECK(host.actionsAfter<DispatchBooking>(3, {RecordRead{0, otherHostsClaim(), Duration(0)}, RecordRead{1, claim, Duration(0)}}).empty());
        THEN("the request is refused with the run state Unknown when the owner reports no outcome")
        {
            const std::vector<RefuseBooking> refusals = host.actionsAfter<RefuseBooking>(4'000, {});
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].code == BookingRefusal::OwnerSilent);
            CHECK(refusals[0].run == RunState::Unknown);
        }
        THEN("the request gets the answer that the owner reports")
        {
            const OutcomeRecord outcome{"key", "b:1", {"digest", RunState::Ran, requests::ServiceAnswer{200, {}, "first"}}, 0};
            const std::vector<AnswerBooking> answers = host.actionsAfter<AnswerBooking>(5, {RecordRead{2, outcome, Duration(0)}});
            REQUIRE(answers.size() == 1);
            CHECK(answers[0].answer.body == "first");
        }
        THEN("a release by the owner does not let the waiting request run")
        {
            const std::vector<RefuseBooking> refusals = host.actionsAfter<RefuseBooking>(5, {RecordRead{2, ReleaseRecord{"key", "b:1", 0}, Duration(0)}});
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].run == RunState::Unknown);
        }
    }
    GIVEN("the result of the append is unknown")
    {
        CHECK(host.actionsAfter<AppendRecords>(500, {AppendEnded{appends[0].batch, AppendOutcome::Unknown}}).empty());
        THEN("the claim is not appended again, and is released when it is read after the request was refused")
        {
            CHECK(host.actionsAfter<AppendRecords>(2'900, {}).empty());
            REQUIRE(host.actionsAfter<RefuseBooking>(4'000, {}).size() == 1);
            const std::vector<AppendRecords> release = host.actionsAfter<AppendRecords>(5'000, {RecordRead{0, claim, Duration(0)}});
            REQUIRE(release.size() == 1);
            CHECK(std::get<ReleaseRecord>(release[0].records.at(0)).claim == claim.claim);
        }
        THEN("the booking is dispatched when the claim is read in time")
        {
            CHECK(host.actionsAfter<DispatchBooking>(600, {RecordRead{0, claim, Duration(0)}}).size() == 1);
        }
    }
    GIVEN("the log has dropped records that the host had not read")
    {
        const std::vector<RefuseBooking> refusals = host.actionsAfter<RefuseBooking>(10, {LogGap{5}});
        REQUIRE(refusals.size() == 1);
        CHECK(refusals[0].run == RunState::Unknown);
        CHECK(host.actionsAfter<DispatchBooking>(20, {RecordRead{5, claim, Duration(0)}}).empty());
        THEN("a new request is refused, since the key window has not passed yet")
        {
            const std::vector<RefuseBooking> again = host.actionsAfter<RefuseBooking>(30, {Host::upToDate(6), Host::arrival(2)});
            REQUIRE(again.size() == 1);
            CHECK(again[0].code == BookingRefusal::LogGap);
        }
    }
}

SCENARIO("A booking with a ticket runs on the owner of the ticket without a claim in the log")
{
    Host host;
    REQUIRE(host.actionsAfter<DispatchBooking>(0, {Host::arrival(1, "digest", true)}).size() == 1);
    CHECK(host.actionsAfter<DispatchBooking>(1, {Host::arrival(2, "digest", true)}).empty());
    CHECK(host.actionsAfter<AnswerBooking>(2, {runEnded(1)}).size() == 1);
    CHECK(host.actionsAfter<DispatchBooking>(3, {Host::arrival(3, "digest", true)}).empty());

    BookingArrived old = Host::arrival(4, "digest", true);
    old.key = "old";
    old.keyAge = std::chrono::hours(25);
    const std::vector<RefuseBooking> refusals = host.actionsAfter<RefuseBooking>(4, {old});
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].code == BookingRefusal::KeyExpired);
}

SCENARIO("A host's rate of appends stays within its share of the limit")
{
    Host host;
    host.actionsAfter<ReportBookingStep>(0, {Host::upToDate(), HostCountChanged{20}});
    std::size_t batches = 0;
    std::size_t records = 0;
    for (int ms = 0; ms < 1'000; ++ms) {
        BookingArrived arrived = Host::arrival(static_cast<std::uint64_t>(ms) + 1);
        arrived.key = "key " + std::to_string(ms);
        for (const AppendRecords &append : host.actionsAfter<AppendRecords>(ms, {arrived})) {
            ++batches;
            records += append.records.size();
            host.actionsAfter<ReportBookingStep>(ms, {AppendEnded{append.batch, AppendOutcome::Appended}});
        }
    }
    CHECK(batches == 10);
    CHECK(records == 901);
}
