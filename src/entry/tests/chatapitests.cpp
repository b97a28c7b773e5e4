#include "entry/internal/chatapi.h"
#include "entry/internal/servicecallspec.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::entry;

SCENARIO("A chat completion request is parsed or refused")
{
    requests::Refusal refusal;
    GIVEN("a well-formed request for a streamed answer with a token limit")
    {
        const std::optional<ChatRequest> request
            = parseChatRequest(R"({"model":"small","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello you"}]})", refusal);
        REQUIRE(request);
        CHECK(request->stream);
        CHECK(request->maxTokens == 5);
        CHECK(request->promptTokens == 3);
    }
    GIVEN("requests with equal and with different first messages")
    {
        const auto prefixOf = [&](const std::string &first, const std::string &rest) {
            return parseChatRequest(R"({"model":"m","messages":[{"role":"system","content":")" + first + R"("},{"role":"user","content":")" + rest + R"("}]})",
                                    refusal)
                ->prefixHash;
        };
        CHECK(prefixOf("rules", "a") == prefixOf("rules", "b"));
        CHECK(prefixOf("rules", "a") != prefixOf("other rules", "a"));
    }
    GIVEN("malformed and unsupported request bodies")
    {
        for (const std::string_view body : {"",
                                            "{",
                                            "[]",
                                            "{}",
                                            R"({"model":"m","messages":[]})",
                                            R"({"model":"m","messages":[1]})",
                                            R"({"model":"m","messages":[{"role":"user"}],"n":2})"}) {
            CHECK_FALSE(parseChatRequest(body, refusal));
            CHECK(refusal.status == 400);
            CHECK(refusal.run == RunState::NotRun);
        }
    }
}

SCENARIO("An unstreamed completion joins the content and the tool calls of all chunks")
{
    requests::TranscriptView view;
    view.finishReason = "tool_calls";
    view.usage = {7, 3};
    view.chunks.push_back({R"({"content":"Look"})", "Look", 1});
    view.chunks.push_back({R"({"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"find","arguments":"{\"a\""}}]})", "", 1});
    view.chunks.push_back({R"({"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]})", "", 1});
    CHECK(
        completionJson("r1", "small", view)
        == R"({"choices":[{"finish_reason":"tool_calls","index":0,"message":{"content":"Look","role":"assistant","tool_calls":[{"function":{"arguments":"{\"a\":1}","name":"find"},"id":"c1","type":"function"}]}}],"id":"r1","model":"small","object":"chat.completion","usage":{"completion_tokens":3,"prompt_tokens":7,"total_tokens":10}})");
}

SCENARIO("A service call that is not idempotent needs an idempotency key")
{
    templates::WorkspaceTemplate workspace;
    workspace.services.push_back({"dispatch", {"/search"}});
    requests::Refusal refusal;
    http::Request request;
    request.method = "POST";
    request.target = "/services/dispatch/pickups?van=1";
    GIVEN("a POST without an idempotency key")
    {
        CHECK_FALSE(serviceSpec(workspace, request, refusal));
        CHECK(refusal.code == "idempotency_key_required");
    }
    GIVEN("a POST with an idempotency key and an API key")
    {
        request.headers.add("Idempotency-Key", "k");
        request.headers.add("Authorization", "Bearer secret");
        const std::optional<requests::RequestSpec> spec = serviceSpec(workspace, request, refusal);
        REQUIRE(spec);
        CHECK(spec->path == "/pickups?van=1");
        CHECK(spec->trafficClass == TrafficClass::Booking);
        CHECK_FALSE(spec->idempotent);
        CHECK(spec->headers.empty());
    }
    GIVEN("a POST to a path that the template declares idempotent")
    {
        request.target = "/services/dispatch/search";
        const std::optional<requests::RequestSpec> spec = serviceSpec(workspace, request, refusal);
        REQUIRE(spec);
        CHECK(spec->idempotent);
    }
    GIVEN("a call of a service that the template does not list")
    {
        request.target = "/services/other";
        CHECK_FALSE(serviceSpec(workspace, request, refusal));
        CHECK(refusal.status == 404);
    }
}
