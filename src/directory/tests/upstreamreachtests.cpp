#include "directory/upstreamreach.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::directory;

TEST_CASE("A host does not reach a service when several of its upstreams fail in a row")
{
    std::vector<std::string> changes;
    UpstreamReach reach([&changes](const std::string &service, bool reached) { changes.push_back(service + (reached ? " reached" : " unreached")); });
    constexpr std::size_t Upstreams = 18;

    SECTION("one upstream that is down or silent does not count, however often it fails")
    {
        for (int number = 0; number < 20; ++number) {
            reach.noteUnreached("models", "model-a", Upstreams);
        }
        CHECK(reach.reaches("models"));
    }
    SECTION("an answer of any upstream of the service shows that it is reached")
    {
        for (const std::string instance : {"a", "b", "c", "d"}) {
            reach.noteUnreached("models", instance, Upstreams);
            reach.noteReached("models");
        }
        CHECK(reach.reaches("models"));
        CHECK(changes.empty());
    }
    SECTION("the third upstream in a row makes the service unreached, until one answers")
    {
        for (const std::string instance : {"a", "b", "c", "d"}) {
            reach.noteUnreached("models", instance, Upstreams);
        }
        CHECK(!reach.reaches("models"));
        CHECK(reach.reaches("dispatch"));
        CHECK(reach.unreachedServices() == std::vector<std::string>{"models"});
        reach.noteReached("models");
        CHECK(reach.reaches("models"));
        CHECK(changes == std::vector<std::string>{"models unreached", "models reached"});
    }
    SECTION("of a service with two upstreams both must fail")
    {
        reach.noteUnreached("dispatch", "a", 2);
        CHECK(reach.reaches("dispatch"));
        reach.noteUnreached("dispatch", "b", 2);
        CHECK(!reach.reaches("dispatch"));
    }
}
