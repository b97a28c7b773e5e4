#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

}

SCENARIO("An operator looks up the course of a request")
{
    FleetOptions options;
    options.zones = {"eger"};
    options.enginesPerZone = 2;
    Fleet fleet(options);
    Fleet::setFailureMode(fleet.engine(0).endpoint, "down");
    Fleet::setFailureMode(fleet.engine(1).endpoint, "truncated", "\"count\":1");
    const http::Response response
        = exchange(fleet.entry(0).callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "secret words", false, 6)));
    const std::string id(response.headers.find("Rosemaryshift-Request").value());
    const std::string host = fleet.entry(0).operators.text();
    GIVEN("a request with a broken attempt")
    {
        WHEN("rosemaryshift-ctl explain is run for it")
        {
            Process explain("rosemaryshift-ctl", {"explain", id, "--token-file", fleet.tokenFile(), host});
            CHECK(explain.awaitExit() == 0);
            const std::string text = joined(explain.lines());
            THEN("the output describes the attempts and their ends and contains no text of the prompt")
            {
                CHECK_THAT(text, Catch::Contains("entry-1 accepted the request of workspace yard (question for yard-small)"));
                CHECK_THAT(text, Catch::Contains("it was sent to engine-"));
                CHECK_THAT(text, Catch::Contains(" ended (broken: "));
                CHECK_THAT(text, !Catch::Contains("secret words"));
            }
        }
        WHEN("rosemaryshift-timeline is run for this request only")
        {
            Process timeline("rosemaryshift-timeline", {"--token-file", fleet.tokenFile(), "--request", id, host});
            CHECK(timeline.awaitExit() == 0);
            THEN("all lines are about the request, and the ends of its attempts are among them")
            {
                const std::vector<std::string> lines = timeline.lines();
                CHECK(std::ranges::all_of(lines, [&](const std::string &line) { return line.find("request=" + id) != std::string::npos; }));
                CHECK_THAT(joined(lines), Catch::Contains("attempt_ended"));
            }
        }
        WHEN("the metrics are read")
        {
            http::Request request = makeRequest("GET", "/metrics");
            request.headers.add("Authorization", "Bearer operators-token");
            const std::string text = exchange(fleet.entry(0).operators, request).body;
            THEN("the request and its broken attempts are counted")
            {
                CHECK_THAT(text, Catch::Contains("rosemaryshift_attempts_total{outcome=\"broken\"}"));
                CHECK_THAT(text, Catch::Contains("rosemaryshift_requests_total{workspace=\"yard\",class=\"question\""));
            }
        }
    }
    GIVEN("a request id that no host knows")
    {
        Process explain("rosemaryshift-ctl", {"explain", "nobody", "--token-file", fleet.tokenFile(), host});
        THEN("rosemaryshift-ctl explain exits with code 1")
        {
            CHECK(explain.awaitExit() == 1);
        }
    }
}
