#include "gateway/internal/attemptstate.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::gateway;

TEST_CASE("AttemptState of a request that must not run twice")
{
    AttemptState state(false, 2);
    REQUIRE(state.mayRejectAsNotRun());
    REQUIRE(state.mayDispatch());
    state.noteDispatched();

    SECTION("after the dispatch, it may be neither rejected as not run nor dispatched again")
    {
        CHECK(!state.mayRejectAsNotRun());
        CHECK(!state.mayDispatch());
    }
    SECTION("when the upstream was not reached, it may be rejected as not run or dispatched again, and the dispatch is not counted")
    {
        state.noteNotSent();
        CHECK(state.mayRejectAsNotRun());
        CHECK(state.mayDispatch());
        CHECK(state.dispatches() == 0);
    }
    SECTION("when the upstream states that it did not execute the request, it may be rejected as not run or dispatched again")
    {
        state.noteNotExecuted();
        CHECK(state.mayRejectAsNotRun());
        CHECK(state.mayDispatch());

        SECTION("after the maximum number of dispatches, it may be rejected as not run but not dispatched again")
        {
            state.noteDispatched();
            state.noteNotExecuted();
            CHECK(state.mayRejectAsNotRun());
            CHECK(!state.mayDispatch());
        }
    }
    SECTION("while the upstream responds, it may be neither rejected as not run nor dispatched again")
    {
        state.noteResponseStarted();
        CHECK(!state.mayRejectAsNotRun());
        CHECK(!state.mayDispatch());
    }
}

TEST_CASE("AttemptState of a request that may run twice")
{
    AttemptState state(true, 2);
    state.noteDispatched();

    SECTION("with the outcome of the first dispatch unknown, it may be dispatched again but not rejected as not run")
    {
        REQUIRE(state.mayDispatch());
        CHECK(!state.mayRejectAsNotRun());
        state.noteDispatched();

        SECTION("when only the second upstream states that it did not execute the request, it may not be rejected as not run")
        {
            state.noteNotExecuted();
            CHECK(!state.mayRejectAsNotRun());
        }
        SECTION("when the second upstream was not reached, it may not be rejected as not run")
        {
            state.noteNotSent();
            CHECK(!state.mayRejectAsNotRun());
        }
    }
    SECTION("with two dispatches at a time, it may be rejected as not run only when both upstreams stated that they did not execute it")
    {
        state.noteDispatched();
        CHECK(!state.mayDispatch());
        state.noteNotExecuted();
        CHECK(!state.mayRejectAsNotRun());
        CHECK(state.executionState() == ExecutionState::Dispatched);

        SECTION("both did")
        {
            state.noteNotExecuted();
            CHECK(state.mayRejectAsNotRun());
            CHECK(state.dispatches() == 2);
        }
        SECTION("nothing was sent to the other one")
        {
            state.noteNotSent();
            CHECK(state.mayRejectAsNotRun());
            CHECK(state.executionState() == ExecutionState::NotExecuted);
            CHECK(state.dispatches() == 1);
        }
    }
    SECTION("while an upstream has responded, another one that did not execute it changes nothing")
    {
        state.noteResponseStarted();
        state.noteDispatched();
        state.noteNotExecuted();
        CHECK(state.executionState() == ExecutionState::Responding);
        CHECK(!state.mayRejectAsNotRun());
    }
    SECTION("once completed, it may be neither dispatched again nor rejected as not run")
    {
        state.noteResponseStarted();
        state.noteCompleted();
        CHECK(!state.mayDispatch());
        CHECK(!state.mayRejectAsNotRun());
    }
}

TEST_CASE("AttemptState of a run that goes on at another upstream")
{
    AttemptState state(false, 1);
    state.noteDispatched();
    state.noteResponseStarted();
    REQUIRE(!state.mayDispatch());
    state.noteMoved();
    REQUIRE(state.mayDispatch());
    CHECK(!state.mayRejectAsNotRun());
    state.noteDispatched();

    SECTION("its dispatch does not count, and there is no further one")
    {
        CHECK(state.dispatches() == 1);
        CHECK(!state.mayDispatch());
        CHECK(!state.mayRejectAsNotRun());
    }
    SECTION("it may be moved again from there")
    {
        state.noteResponseStarted();
        state.noteMoved();
        CHECK(state.mayDispatch());
        state.noteDispatched();
        CHECK(state.dispatches() == 1);
    }
    SECTION("when the upstream was not reached or did not execute it, the run is still begun and may only be moved")
    {
        if (GENERATE(true, false)) {
            state.noteNotSent();
        } else {
            state.noteNotExecuted();
        }
        CHECK(state.executionState() == ExecutionState::Responding);
        CHECK(state.dispatches() == 1);
        CHECK(!state.mayRejectAsNotRun());
        CHECK(!state.mayDispatch());
    }
    SECTION("a complete answer ends it")
    {
        state.noteMoved();
        state.noteCompleted();
        CHECK(!state.mayDispatch());
    }
}
