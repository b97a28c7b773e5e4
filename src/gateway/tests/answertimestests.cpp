#include "gateway/internal/answertimes.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::gateway;
using namespace std::chrono_literals;
using routing::RequestKind;

// Guards against a stopping process that accepts requests which usually take longer than it has left.
TEST_CASE("AnswerTimes expects of a request what the answered ones of its service and kind took")
{
    AnswerTimes times;
    CHECK(times.expected("models", RequestKind::Streaming) == Duration::zero());
    for (int i = 0; i < 100; ++i) {
        times.note("models", RequestKind::Streaming, 2s);
    }

    SECTION("equal times are expected again")
    {
        CHECK(times.expected("models", RequestKind::Streaming) >= 2s);
        CHECK(times.expected("models", RequestKind::Streaming) < 2'050ms);
    }
    SECTION("varying times raise the expectation above their mean")
    {
        for (int i = 0; i < 100; ++i) {
            times.note("models", RequestKind::Streaming, i % 2 == 0 ? 1s : 3s);
        }
        CHECK(times.expected("models", RequestKind::Streaming) > 3s);
    }
    SECTION("other services and kinds are estimated apart")
    {
        CHECK(times.expected("models", RequestKind::Idempotent) == Duration::zero());
        CHECK(times.expected("dispatch", RequestKind::Streaming) == Duration::zero());
    }
}
