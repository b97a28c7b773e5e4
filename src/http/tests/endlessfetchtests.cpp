#include "http/ihttpclient.h"
#include "http/ihttpserver.h"

#include <boost/asio.hpp>

#include <catch2/catch.hpp>

using namespace rosemaryshift::http;
namespace net = boost::asio;

// Guards against a platform or a peer that fills a host's memory by an answer without end.
TEST_CASE("An answer that does not end is broken off when it exceeds what is read of one")
{
    net::io_context context;
    bool brokenOff = false;
    const auto answerWithoutEnd = [&brokenOff](const Request &, IResponseWriter &writer) -> net::awaitable<void> {
        constexpr int ManyPieces = 512;
        const std::string piece(64 * 1024, 'x');
        Headers headers;
        co_await writer.begin(200, std::move(headers));
        for (int number = 0; number < ManyPieces && !brokenOff; ++number) {
            const bool written = co_await writer.write(piece);
            brokenOff = !written;
        }
        writer.abort();
    };
    std::string reason;
    const ServerLimits limits;
    const std::unique_ptr<IHttpServer> server = makeHttpServer(context, {"127.0.0.1", 0}, limits, answerWithoutEnd, reason);
    REQUIRE(server);
    std::optional<Response> response;
    ClientFailure failure;
    const auto fetchAll = [&]() -> net::awaitable<void> {
        Request request;
        const ClientTimeouts timeouts;
        response = co_await fetch(server->endpoint(), std::move(request), timeouts, failure);
        server->stopAccepting();
    };
    net::co_spawn(context, fetchAll(), net::detached);
    context.run();
    CHECK(!response);
    CHECK(failure.error == ClientError::Malformed);
    CHECK(brokenOff);
}
