#include "gateway/internal/attemptstate.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::gateway;

TEST_CASE("An attempt that must not run twice")
{
    AttemptState state(false, 2);
    REQUIRE(state.mayRefuse());
    REQUIRE(state.mayOffer());
    state.noteOffered();

    SECTION("is neither refused nor offered again once it was sent")
    {
        CHECK(!state.mayRefuse());
        CHECK(!state.mayOffer());
    }
    SECTION("may be both when the upstream was not reached, and that counts as no offer")
    {
        state.noteNotSent();
        CHECK(state.mayRefuse());
        CHECK(state.mayOffer());
        CHECK(state.offers() == 0);
    }
    SECTION("may be both when the upstream states that it did not run it")
    {
        state.noteNotRun();
        CHECK(state.mayRefuse());
        CHECK(state.mayOffer());

        SECTION("but goes to no more upstreams than the route allows")
        {
            state.noteOffered();
            state.noteNotRun();
            CHECK(state.mayRefuse());
            CHECK(!state.mayOffer());
        }
    }
    SECTION("is neither while it runs")
    {
        state.noteRunning();
        CHECK(!state.mayRefuse());
        CHECK(!state.mayOffer());
    }
}

TEST_CASE("An attempt that may run twice")
{
    AttemptState state(true, 2);
    state.noteOffered();

    SECTION("may be offered elsewhere without word of the first offer, and is not refused as not run")
    {
        REQUIRE(state.mayOffer());
        CHECK(!state.mayRefuse());
        state.noteOffered();

        SECTION("not even when the second upstream states that it did not run it")
        {
            state.noteNotRun();
            CHECK(!state.mayRefuse());
        }
        SECTION("nor when the second upstream was not reached")
        {
            state.noteNotSent();
            CHECK(!state.mayRefuse());
        }
    }
    SECTION("is done once it is answered")
    {
        state.noteRunning();
        state.noteAnswered();
        CHECK(!state.mayOffer());
        CHECK(!state.mayRefuse());
    }
}
