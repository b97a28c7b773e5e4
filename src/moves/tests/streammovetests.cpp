#include "moves/streammove.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::moves;
using ports::CopyOutcome;

namespace {

void answer(StreamMove &move, CopyOutcome outcome, const std::string &handle = {})
{
    move.noteCalled();
    move.noteAnswer({outcome, handle, {}});
}

}

TEST_CASE("StreamMove lets a run go on elsewhere once its upstream does not work on it any more")
{
    StreamMove move;
    REQUIRE(move.step() == MoveStep::ChooseDestination);
    move.setDestination("a");
    REQUIRE(move.step() == MoveStep::Copy);

    SECTION("the memory is copied, the run stops, and its request goes to the destination")
    {
        answer(move, CopyOutcome::Copied, "h1");
        CHECK(move.step() == MoveStep::Stop);
        CHECK(!move.mayHaveStopped());
        answer(move, CopyOutcome::Copied, "h1");
        CHECK(move.step() == MoveStep::Resume);
        CHECK(move.stopped());
        CHECK(move.destination() == "a");
        CHECK(move.handle() == "h1");
        move.noteResumed();
        CHECK(move.step() == MoveStep::Done);
    }
    SECTION("a full destination is replaced while the run goes on")
    {
        answer(move, CopyOutcome::NoRoom);
        REQUIRE(move.step() == MoveStep::ChooseDestination);
        CHECK(move.refused() == std::set<std::string>{"a"});
        move.setDestination("b");
        CHECK(move.step() == MoveStep::Copy);

        SECTION("up to a number of destinations")
        {
            answer(move, CopyOutcome::NoRoom);
            move.setDestination("c");
            answer(move, CopyOutcome::NoRoom);
            CHECK(move.step() == MoveStep::Done);
            CHECK(move.failure() == "no_room");
            CHECK(!move.mayHaveStopped());
        }
        SECTION("or while there is one")
        {
            answer(move, CopyOutcome::NoRoom);
            move.noteNoDestination();
            CHECK(move.step() == MoveStep::Done);
        }
    }
    SECTION("the destination becomes full or dies when the run stops: the source keeps the memory, and another destination gets it")
    {
        answer(move, CopyOutcome::Copied, "h1");
        answer(move, CopyOutcome::NoRoom, "h1");
        REQUIRE(move.step() == MoveStep::ChooseDestination);
        CHECK(move.stopped());
        move.setDestination("b");
        REQUIRE(move.step() == MoveStep::Stop);
        SECTION("which has room")
        {
            answer(move, CopyOutcome::Copied, "h2");
            CHECK(move.step() == MoveStep::Resume);
            CHECK(move.handle() == "h2");
        }
        SECTION("which cannot get it: the memory is freed")
        {
            answer(move, CopyOutcome::NoRun);
            CHECK(move.step() == MoveStep::Release);
            CHECK(move.handle() == "h1");
            move.noteReleased();
            CHECK(move.step() == MoveStep::Done);
        }
    }
    SECTION("the destination gets a notice itself")
    {
        SECTION("before the run stops")
        {
            answer(move, CopyOutcome::Copied, "h1");
            move.noteDestinationLost();
            move.setDestination("b");
            CHECK(move.step() == MoveStep::Copy);
        }
        SECTION("when the copy is complete")
        {
            answer(move, CopyOutcome::Copied, "h1");
            answer(move, CopyOutcome::Copied, "h1");
            move.noteDestinationLost();
            move.setDestination("b");
            CHECK(move.step() == MoveStep::Stop);
        }
    }
    SECTION("the source dies")
    {
        SECTION("before or during the copy: the stream is lost")
        {
            answer(move, GENERATE(CopyOutcome::Unreachable, CopyOutcome::NoRun));
            CHECK(move.step() == MoveStep::Done);
            CHECK(!move.failure().empty());
        }
        SECTION("after a copy, before the run was stopped: the destination has all but the last tokens")
        {
            answer(move, CopyOutcome::Copied, "h1");
            answer(move, CopyOutcome::Unreachable);
            CHECK(move.step() == MoveStep::Resume);
            CHECK(!move.stopped());
            move.noteResumeRefused();
            CHECK(move.step() == MoveStep::Release);
        }
    }
    SECTION("the answer to a call is lost")
    {
        answer(move, CopyOutcome::Unknown);
        CHECK(move.step() == MoveStep::Copy);
        answer(move, CopyOutcome::Copied, "h1");
        answer(move, CopyOutcome::Unknown);
        REQUIRE(move.step() == MoveStep::Stop);
        CHECK(move.mayHaveStopped());

        SECTION("the handle is asked for once more")
        {
            answer(move, CopyOutcome::Busy);
            CHECK(move.step() == MoveStep::Wait);
            move.noteWaited();
            CHECK(move.step() == MoveStep::Stop);
            answer(move, CopyOutcome::Copied, "h1");
            CHECK(move.step() == MoveStep::Resume);
        }
        SECTION("the source states that the run has ended, which it has by that call")
        {
            answer(move, CopyOutcome::NoRun);
            CHECK(move.step() == MoveStep::Resume);
        }
        SECTION("again: the source may still work on the run, so that it goes on nowhere, and the room is freed")
        {
            answer(move, CopyOutcome::Unknown);
            CHECK(move.step() == MoveStep::Release);
            CHECK(move.failure() == "answer_lost");
        }
    }
    SECTION("the run ends by itself before it is stopped")
    {
        answer(move, CopyOutcome::Copied, "h1");
        SECTION("as the source says: the room is freed, and the end of the stream counts")
        {
            answer(move, CopyOutcome::NoRun);
            CHECK(move.step() == MoveStep::Release);
            CHECK(!move.mayHaveStopped());
        }
        SECTION("as the stream says, or its caller leaves, or the host is stopped: nothing more is copied")
        {
            move.noteRunEnded();
            CHECK(move.step() == MoveStep::Release);
        }
        SECTION("as the stream says during a call: what the call has copied is freed")
        {
            move.noteCalled();
            move.noteRunEnded();
            CHECK(move.step() == MoveStep::Stop);
            move.noteAnswer({CopyOutcome::Copied, "h1", {}});
            CHECK(move.step() == MoveStep::Release);
        }
    }
    SECTION("the handle was used already, or is lost at the destination: the source, which keeps the memory, copies it to another one")
    {
        answer(move, CopyOutcome::Copied, "h1");
        answer(move, CopyOutcome::Copied, "h1");
        move.noteResumeRefused();
        REQUIRE(move.step() == MoveStep::ChooseDestination);
        move.setDestination("b");
        CHECK(move.step() == MoveStep::Stop);
        answer(move, CopyOutcome::Copied, "h2");
        CHECK(move.step() == MoveStep::Resume);
    }
    SECTION("an answer that cannot be understood moves nothing")
    {
        answer(move, GENERATE(CopyOutcome::Refused, CopyOutcome::Copied));
        CHECK(move.step() == MoveStep::Done);
        CHECK(!move.failure().empty());
    }
}
