#include "platform/iplatform.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::platform;

SCENARIO("What the platform says is read row by row")
{
    GIVEN("a host list with one row that cannot be read")
    {
        const std::optional<HostList> list = hostListFromJson(R"({"version":3,"hosts":[
            {"name":"e1","kind":"engine","address":"127.0.0.1:80","zone":"eger","targets":["small"],"slots":4,"price":0.5},
            {"name":"e2","kind":"engine","address":"nowhere","zone":"eger"},
            {"name":"s1","kind":"service","address":"127.0.0.1:81","zone":"eger","targets":["dispatch"],"leaves_in_ms":500}]})");
        THEN("the others stand and the bad one is counted")
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
    GIVEN("answers that are not what was asked for")
    {
        CHECK_FALSE(hostListFromJson("[]"));
        CHECK_FALSE(logPageFromJson("{\"records\":[]}"));
        CHECK_FALSE(logPageFromJson("{\"oldest\":0,\"next\":1,\"records\":[{\"offset\":0}]}"));
    }
}
