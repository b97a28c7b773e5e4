#include "support/answers.h"
#include "support/fleet.h"
#include "support/golden.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

constexpr int Tokens = 13;

FleetOptions oneZone()
{
    FleetOptions options;
    options.zones = {"eger"};
    options.enginesPerZone = 2;
    return options;
}

http::Request chat(bool stream)
{
    return Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "care plan", stream, Tokens));
}

}

SCENARIO("Callers get complete answers when the first answer of each engine is cut short, belongs to another request or is lost")
{
    Fleet fleet(oneZone());
    GoldenSession golden("wholeanswer");
    for (const std::string mode : {"truncated", "unfinished", "crossed", "lost_answer", "down"}) {
        for (const bool stream : {true, false}) {
            for (std::size_t i = 0; i < 2; ++i) {
                Fleet::setFailureMode(fleet.engine(i).endpoint, mode, "\"count\":1");
            }
            golden.addComment("the first answer of each engine is " + mode);
            const http::Request request = chat(stream);
            const http::Response response = exchange(fleet.entry(0).callers, request);
            golden.addExchange(request, response);
            INFO(mode);
            CHECK(wordNumbers(response.body) == numbersBelow(Tokens));
            for (std::size_t i = 0; i < 2; ++i) {
                Fleet::setFailureMode(fleet.engine(i).endpoint, "none");
            }
        }
    }
    for (std::size_t i = 0; i < 2; ++i) {
        Fleet::setFailureMode(fleet.engine(i).endpoint, "truncated", "\"count\":1");
    }
    golden.addComment("a caller that asks for usage, with the first answer of each engine truncated");
    const std::string body = R"({"model":"plan-large","stream":true,"max_completion_tokens":3,"stream_options":{"include_usage":true},)"
                             R"("messages":[{"role":"user","content":"care plan"}]})";
    const http::Request request = Fleet::callerRequest("POST", "/v1/chat/completions", body);
    golden.addExchange(request, exchange(fleet.entry(0).callers, request));
    golden.compare();
}

SCENARIO("A stream that is truncated on two engines is resumed without computing a token twice")
{
    Fleet fleet(oneZone());
    for (std::size_t i = 0; i < 2; ++i) {
        Fleet::setFailureMode(fleet.engine(i).endpoint, "truncated", "\"count\":1");
    }
    const http::Response response = exchange(fleet.entry(0).callers, chat(true));
    CHECK(wordNumbers(response.body) == numbersBelow(Tokens));
    CHECK(Fleet::standinCounters(fleet.engine(0).endpoint)["tokens"].asInt() + Fleet::standinCounters(fleet.engine(1).endpoint)["tokens"].asInt() == Tokens);
}

SCENARIO("Answers of a plain service that are incomplete or belong to another request are not delivered")
{
    FleetOptions options = oneZone();
    options.servicesPerZone = 2;
    Fleet fleet(options);
    const auto failServices = [&](const std::string &mode) {
        for (std::size_t i = 0; i < 2; ++i) {
            Fleet::setFailureMode(fleet.service(i).endpoint, mode, "\"count\":1");
        }
    };
    for (const std::string mode : {"truncated", "crossed", "lost_answer"}) {
        INFO(mode);
        GIVEN("a lookup whose first answer is " + mode)
        {
            failServices(mode);
            const http::Response response = exchange(fleet.entry(0).callers, Fleet::callerRequest("GET", "/services/dispatch/manifests?mode=" + mode));
            THEN("the request is retried and the complete answer is delivered")
            {
                CHECK(response.status == 200);
                CHECK_THAT(response.body, Catch::Contains("/manifests?mode=" + mode) && Catch::EndsWith("}"));
            }
        }
    }
}
