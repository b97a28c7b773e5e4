#include "bookings/ibookingcoordinator.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::bookings;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

/// One coordinator and the log as it sees it.
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

    template <typename T>
    std::vector<T> only(int ms, const std::vector<BookingEvent> &events)
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

ClaimRecord other()
{
    return {"key", "b:1", "b", "digest", 0};
}

RunEnded ran(std::uint64_t request)
{
    return {static_cast<RequestId>(request), RunState::Ran, requests::ServiceAnswer{200, {}, "booked"}};
}

}

SCENARIO("A booking is dispatched only once its claim has won")
{
    Host host;
    host.only<ReportBookingStep>(0, {Host::upToDate()});
    const std::vector<AppendRecords> appends = host.only<AppendRecords>(1, {Host::arrival(1)});
    REQUIRE(appends.size() == 1);
    const ClaimRecord claim = std::get<ClaimRecord>(appends[0].records.at(0));
    CHECK(host.only<DispatchBooking>(2, {AppendEnded{appends[0].batch, AppendOutcome::Appended}}).empty());

    GIVEN("a claim that won")
    {
        REQUIRE(host.only<DispatchBooking>(3, {RecordRead{0, claim, Duration(0)}}).size() == 1);
        WHEN("the request comes again while the first runs")
        {
            CHECK(host.only<DispatchBooking>(4, {Host::arrival(2)}).empty());
            THEN("both get the one answer, and so does a third that comes after")
            {
                const std::vector<AnswerBooking> answers = host.only<AnswerBooking>(5, {ran(1), Host::arrival(3)});
                REQUIRE(answers.size() == 2);
                CHECK(answers[0].answer.body == "booked");
            }
        }
        WHEN("another request comes under the key")
        {
            const std::vector<RefuseBooking> refusals = host.only<RefuseBooking>(4, {Host::arrival(2, "another")});
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].code == BookingRefusal::KeyReused);
        }
        WHEN("it was refused before an upstream was offered a byte")
        {
            const std::vector<AppendRecords> release = host.only<AppendRecords>(10, {RunEnded{static_cast<RequestId>(1), RunState::NotRun, std::nullopt}});
            REQUIRE(release.size() == 1);
            THEN("the claim is given back, and only then is the key claimed anew")
            {
                CHECK(host.only<AppendRecords>(20, {Host::arrival(2)}).empty());
                const std::vector<AppendRecords> again = host.only<AppendRecords>(30, {RecordRead{1, release[0].records.at(0), Duration(0)}});
                REQUIRE(again.size() == 1);
                CHECK(std::holds_alternative<ClaimRecord>(again[0].records.at(0)));
            }
        }
        WHEN("its outcome is unknown")
        {
            host.only<ReportBookingStep>(4, {RunEnded{static_cast<RequestId>(1), RunState::Unknown, std::nullopt}});
            const std::vector<RefuseBooking> refusals = host.only<RefuseBooking>(5, {Host::arrival(2)});
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].run == RunState::Unknown);
        }
    }
    GIVEN("a claim that won after the deadline")
    {
        const std::vector<RefuseBooking> refusals = host.only<RefuseBooking>(10'000, {RecordRead{0, claim, Duration(0)}});
        THEN("nothing is dispatched, and not run is true")
        {
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].code == BookingRefusal::DeadlinePassed);
            CHECK(refusals[0].run == RunState::NotRun);
        }
    }
    GIVEN("another host's claim that came first")
    {
        CHECK(host.only<DispatchBooking>(3, {RecordRead{0, other(), Duration(0)}, RecordRead{1, claim, Duration(0)}}).empty());
        THEN("a silent owner leaves the outcome unknown")
        {
            const std::vector<RefuseBooking> refusals = host.only<RefuseBooking>(4'000, {});
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].code == BookingRefusal::OwnerSilent);
            CHECK(refusals[0].run == RunState::Unknown);
        }
        THEN("the owner's outcome is the answer")
        {
            const OutcomeRecord outcome{"key", "b:1", {"digest", RunState::Ran, requests::ServiceAnswer{200, {}, "first"}}, 0};
            const std::vector<AnswerBooking> answers = host.only<AnswerBooking>(5, {RecordRead{2, outcome, Duration(0)}});
            REQUIRE(answers.size() == 1);
            CHECK(answers[0].answer.body == "first");
        }
        THEN("a release does not let this older request run")
        {
            const std::vector<RefuseBooking> refusals = host.only<RefuseBooking>(5, {RecordRead{2, ReleaseRecord{"key", "b:1", 0}, Duration(0)}});
            REQUIRE(refusals.size() == 1);
            CHECK(refusals[0].run == RunState::Unknown);
        }
    }
    GIVEN("an append whose answer was lost")
    {
        CHECK(host.only<AppendRecords>(500, {AppendEnded{appends[0].batch, AppendOutcome::Unknown}}).empty());
        THEN("the claim is not repeated, and one that turns up late is given back")
        {
            CHECK(host.only<AppendRecords>(2'900, {}).empty());
            REQUIRE(host.only<RefuseBooking>(4'000, {}).size() == 1);
            const std::vector<AppendRecords> release = host.only<AppendRecords>(5'000, {RecordRead{0, claim, Duration(0)}});
            REQUIRE(release.size() == 1);
            CHECK(std::get<ReleaseRecord>(release[0].records.at(0)).claim == claim.claim);
        }
        THEN("one that turns up in time is dispatched")
        {
            CHECK(host.only<DispatchBooking>(600, {RecordRead{0, claim, Duration(0)}}).size() == 1);
        }
    }
    GIVEN("records that were dropped unread")
    {
        const std::vector<RefuseBooking> refusals = host.only<RefuseBooking>(10, {LogGap{5}});
        REQUIRE(refusals.size() == 1);
        CHECK(refusals[0].run == RunState::Unknown);
        CHECK(host.only<DispatchBooking>(20, {RecordRead{5, claim, Duration(0)}}).empty());
        THEN("no key is claimed until the window has passed")
        {
            const std::vector<RefuseBooking> again = host.only<RefuseBooking>(30, {Host::upToDate(6), Host::arrival(2)});
            REQUIRE(again.size() == 1);
            CHECK(again[0].code == BookingRefusal::LogGap);
        }
    }
}

SCENARIO("A ticket runs on its owner without the log")
{
    Host host;
    REQUIRE(host.only<DispatchBooking>(0, {Host::arrival(1, "digest", true)}).size() == 1);
    CHECK(host.only<DispatchBooking>(1, {Host::arrival(2, "digest", true)}).empty());
    CHECK(host.only<AnswerBooking>(2, {ran(1)}).size() == 1);
    CHECK(host.only<DispatchBooking>(3, {Host::arrival(3, "digest", true)}).empty());

    BookingArrived old = Host::arrival(4, "digest", true);
    old.key = "old";
    old.keyAge = std::chrono::hours(25);
    const std::vector<RefuseBooking> refusals = host.only<RefuseBooking>(4, {old});
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].code == BookingRefusal::KeyExpired);
}

SCENARIO("Appends keep to the host's share of the log")
{
    Host host;
    host.only<ReportBookingStep>(0, {Host::upToDate(), HostCountChanged{20}});
    std::size_t batches = 0;
    std::size_t records = 0;
    for (int ms = 0; ms < 1'000; ++ms) {
        BookingArrived arrived = Host::arrival(static_cast<std::uint64_t>(ms) + 1);
        arrived.key = "key " + std::to_string(ms);
        for (const AppendRecords &append : host.only<AppendRecords>(ms, {arrived})) {
            ++batches;
            records += append.records.size();
            host.only<ReportBookingStep>(ms, {AppendEnded{append.batch, AppendOutcome::Appended}});
        }
    }
    CHECK(batches == 10);
    CHECK(records == 901);
}
