#include "entry/internal/loadpoller.h"

#include "http/ihttpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::entry;

namespace net = boost::asio;

namespace {

net::awaitable<void> answerLoad(http::Request request, http::IResponseWriter &writer)
{
    http::Response response;
    response.status = request.target == "/load" ? 200 : 404;
    response.body = R"({"running":3,"queued":2})";
    co_await writer.respond(std::move(response));
}

}

SCENARIO("The load report of a live upstream is passed to the decision core with the time of the poll")
{
    net::io_context context(1);
    std::string reason;
    const std::unique_ptr<http::IHttpServer> server = http::makeHttpServer(context, *http::Endpoint::parse("127.0.0.1:0"), {}, answerLoad, reason);
    REQUIRE(server);
    UpstreamDirectory directory("miskolc", timeline::makeTimeline(timeline::makeHybridClock(), "entry", "1", 16), [](const decisions::Event &) {});
    platform::ListedHost engine;
    engine.name = "engine-1";
    engine.zone = "miskolc";
    engine.endpoint = server->endpoint();
    platform::HostList list;
    list.hosts = {engine};
    directory.update(list, TimePoint{});
    std::optional<decisions::UpstreamReported> reported;
    LoadPoller poller(
        context,
        directory,
        [] { return TimePoint(std::chrono::seconds(7)); },
        [&](const decisions::Event &event) {
            reported = std::get<decisions::UpstreamReported>(event);
            context.stop();
        });
    net::co_spawn(context, poller.run(), net::detached);
    context.run();
    REQUIRE(reported);
    CHECK(reported->running == 3);
    CHECK(reported->queued == 2);
    CHECK(reported->measuredAt == TimePoint(std::chrono::seconds(7)));
}
