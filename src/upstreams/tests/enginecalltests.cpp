#include "upstreams/iupstreamcall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::upstreams;
namespace net = boost::asio;

SCENARIO("Resuming a transcript that contains a tool call fails the attempt")
{
    requests::RequestRegistry registry("entry-1.0a1b2c3d", {});
    const std::shared_ptr<requests::RequestRecord> record = registry.add({});
    const AttemptId first{1};
    REQUIRE(record->transcript.open(first, 0));
    REQUIRE(record->transcript.append(first, {R"({"tool_calls":[{"index":0}]})", "", 1}));
    record->transcript.release(first);

    net::io_context context;
    AttemptSpec spec;
    spec.attempt = AttemptId{2};
    const std::shared_ptr<IUpstreamCall> call = makeEngineCall(context.get_executor(), record, spec, [](std::uint32_t) {});
    AttemptResult result;
    const auto run = [&]() -> net::awaitable<void> { result = co_await call->run(); };
    net::co_spawn(context, run, net::detached);
    context.run();
    THEN("the attempt ends as broken without a request to the engine, instead of waiting for the deadline")
    {
        CHECK(result.outcome == decisions::AttemptOutcome::Broken);
    }
}
