#include "platform/iplatform.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::platform;

SCENARIO("Answers of the platform are parsed row by row")
{
    GIVEN("a host list with one malformed row")
    {
        const std::optional<HostList> list = hostListFromJson(R"({"version":3,"hosts":[
            {"name":"e1","kind":"engine","address":"127.0.0.1:80","zone":"eger","targets":["small"],"slots":4,"price":0.5},
            {"name":"e2","kind":"engine","address":"nowhere","zone":"eger"},
            {"name":"s1","kind":"service","address":"127.0.0.1:81","zone":"eger","targets":["dispatch"],"leaves_in_ms":500}]})");
        THEN("the malformed row is counted, and the others are kept and survive being written and read again")
        {
            REQUIRE(list);
            REQUIRE(list->hosts.size() == 2);
            CHECK(list->skipped == 1);
            CHECK(list->hosts[0].slots == 4);
            CHECK(list->hosts[1].leavesIn == std::chrono::milliseconds(500));
            const std::optional<HostList> again = hostListFromJson(hostListText(*list));
            REQUIRE(again);
            CHECK(again->version == 3);
            CHECK(again->hosts[0].targets == list->hosts[0].targets);
            CHECK(again->hosts[1].kind == HostKind::Service);
            CHECK(again->hosts[1].leavesIn == list->hosts[1].leavesIn);
        }
    }
    GIVEN("answers that are not an object or lack required members")
    {
        CHECK_FALSE(hostListFromJson("[]"));
        CHECK_FALSE(logPageFromJson("{\"records\":[]}"));
        CHECK_FALSE(logPageFromJson("{\"oldest\":0,\"next\":1,\"records\":[{\"offset\":0}]}"));
    }
}
