#include "requests/requestregistry.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::requests;

SCENARIO("One attempt at a time writes a transcript")
{
    Transcript transcript;
    const AttemptId first{1};
    const AttemptId second{2};

    GIVEN("an attempt that has written one chunk")
    {
        REQUIRE(transcript.open(first, 0));
        REQUIRE(transcript.append(first, {"{}", "one ", 1}));
        THEN("another attempt may neither become the writer nor append")
        {
            CHECK_FALSE(transcript.open(second, 1));
            CHECK_FALSE(transcript.append(second, {"{}", "x", 1}));
        }
        WHEN("the writing attempt is released")
        {
            transcript.release(first);
            THEN("an attempt that continues from before the written chunk may not become the writer")
            {
                CHECK_FALSE(transcript.open(second, 0));
            }
        }
        WHEN("the writing attempt is released and another one continues")
        {
            transcript.release(first);
            REQUIRE(transcript.open(second, 1));
            REQUIRE(transcript.append(second, {"{}", "two", 2}));
            THEN("late chunks of the first attempt are rejected and the second completes the answer")
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
    GIVEN("a transcript that ended with a refusal")
    {
        transcript.refuse({503, "no_upstream", "", RunState::NotRun, std::nullopt});
        THEN("no attempt may write and the state stays Refused")
        {
            CHECK_FALSE(transcript.open(first, 0));
            transcript.move();
            CHECK(transcript.state() == TranscriptState::Refused);
        }
    }
}

SCENARIO("The registry keeps only the latest finished requests, up to its limit")
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
