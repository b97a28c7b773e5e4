#include "http/tests/polledserver.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::http;
using namespace rosemaryshift::http::testing;
namespace net = boost::asio;

// Guards against a request that runs without its body, whose bytes are then run as further requests (review/9).
TEST_CASE("A request whose body has a transfer coding that is not \"chunked\" alone is refused, and nothing in its body runs")
{
    std::vector<std::string> run;
    const ServerLimits limits;
    PolledServer server(limits, [&run](const Request &request, IResponseWriter &writer) -> net::awaitable<void> {
        run.push_back(request.target + " " + request.body);
        Response response;
        co_await writer.respond(std::move(response));
    });
    net::ip::tcp::socket caller = server.connect();
    const std::string hidden = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

    SECTION("whatever comes before or behind it, or beside it")
    {
        const std::string fields = GENERATE(as<std::string>(),
                                            "Transfer-Encoding: gzip\r\n",
                                            "Transfer-Encoding: chunked, gzip\r\n",
                                            "Transfer-Encoding: gzip, chunked\r\n",
                                            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                                            "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n",
                                            "Transfer-Encoding: xchunked\r\n");
        CAPTURE(fields);
        send(caller, "POST /outer HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + hidden);
        CHECK_THAT(server.receive(caller, "no answer contains this"), Catch::StartsWith("HTTP/1.1 400"));
        CHECK(run.empty());
    }
    SECTION("chunks alone are read")
    {
        send(caller, "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        CHECK_THAT(server.receive(caller, "\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200"));
        CHECK(run == std::vector<std::string>{"/outer body"});
    }
}
