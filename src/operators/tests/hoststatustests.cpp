#include "base/json.h"
#include "operators/hoststatus.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::operators;

SCENARIO("A host's status text lists hosts and upstreams by availability zone")
{
    std::string reason;
    GIVEN("a status answer with rows of two zones and one malformed row")
    {
        const std::optional<Json::Value> answer = parseJson(
            R"({"ready":true,"stopping":false,"log_reachable":false,"log_position":12,"open_requests":3,
                "name":"entry-1","zone":"eger",
                "peers":[{"name":"entry-2","zone":"miskolc","leaving":true,"same_templates":false,"revisions":{"yard":3},"lag":"log out"},5],
                "upstreams":[{"name":"engine-1","zone":"eger","address":"127.0.0.1:1","state":"live"}],
                "templates":[{"workspace":"yard","revision":4,"author":"committee"}]})",
            reason);
        REQUIRE(answer);
        const std::optional<HostStatus> status = statusFromJson(*answer);
        REQUIRE(status);
        THEN("the well-formed rows are listed under their zones")
        {
            CHECK(statusText(*status)
                  == "ready, open requests 3, log out, read up to offset 12\n"
                     "zone eger: hosts 1, of which leaving 0; upstreams 1, of which leaving 0\n"
                     "  host entry-1 this host\n"
                     "  upstream engine-1 127.0.0.1:1 live\n"
                     "zone miskolc: hosts 1, of which leaving 1; upstreams 0, of which leaving 0\n"
                     "  host entry-2 leaving yard=3 lags: log out\n"
                     "workspace yard revision 4 by committee\n");
        }
    }
    GIVEN("answers that are not a status object")
    {
        CHECK_FALSE(statusFromJson(Json::Value("ready")));
        CHECK_FALSE(statusFromJson(Json::Value(Json::objectValue)));
    }
}
