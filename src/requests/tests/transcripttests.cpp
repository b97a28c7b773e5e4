#include "requests/requestregistry.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::requests;

SCENARIO("One attempt at a time writes a transcript")
{
    Transcript transcript;
    const AttemptId first{1};
    const AttemptId second{2};

    GIVEN("an attempt that has begun to write")
    {
        REQUIRE(transcript.open(first, 0));
        REQUIRE(transcript.append(first, {"{}", "one ", 1}));
        THEN("another one may neither begin nor write")
        {
            CHECK_FALSE(transcript.open(second, 1));
            CHECK_FALSE(transcript.append(second, {"{}", "x", 1}));
        }
        WHEN("it is released")
        {
            transcript.release(first);
            THEN("an attempt that was started before its words came may not repeat them")
            {
                CHECK_FALSE(transcript.open(second, 0));
            }
        }
        WHEN("it is released and another goes on")
        {
            transcript.release(first);
            REQUIRE(transcript.open(second, 1));
            REQUIRE(transcript.append(second, {"{}", "two", 2}));
            THEN("late words of the first are not taken")
            {
                CHECK_FALSE(transcript.append(first, {"{}", "late", 1}));
                CHECK(transcript.prefix().content == "one two");
                CHECK(transcript.finish(second, "stop", 5));
                CHECK(transcript.view(1).chunks.size() == 1);
                CHECK(transcript.view(1).usage.completionTokens == 3);
                CHECK(transcript.state() == TranscriptState::Complete);
            }
        }
    }
    GIVEN("a transcript that was refused")
    {
        transcript.refuse({503, "no_upstream", "", RunState::NotRun, std::nullopt});
        THEN("its end does not change any more")
        {
            CHECK_FALSE(transcript.open(first, 0));
            transcript.move();
            CHECK(transcript.state() == TranscriptState::Refused);
        }
    }
}

SCENARIO("Finished requests are kept for a bounded time and in bounded number")
{
    RequestRegistry registry("a-1", {std::chrono::hours(1), 2});
    for (int i = 0; i < 4; ++i) {
        const std::shared_ptr<RequestRecord> record = registry.add({});
        registry.markFinished(*record);
    }
    CHECK(registry.size() == 2);
    CHECK(registry.find("a-1-1") == nullptr);
    CHECK(registry.find("a-1-4") != nullptr);
}
