#include "http/tests/rawserver.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::http;
using namespace rosemaryshift::http::testing;
namespace net = boost::asio;

namespace {

/// What a client makes of @p bytes, behind which the server ends the connection.
ReceivedAnswer receive(std::string_view bytes)
{
    RawServer server;
    ReceivedAnswer answer;
    net::co_spawn(
        server.context(),
        [&]() -> net::awaitable<void> {
            Request request;
            const ClientTimeouts timeouts;
            answer.response = co_await fetch(server.endpoint(), std::move(request), timeouts, answer.failure);
            answer.done = true;
        },
        net::detached);
    server.run(std::chrono::milliseconds(10));
    server.accept();
    server.send(bytes);
    server.end();
    server.run(std::chrono::seconds(5));
    REQUIRE(answer.done);
    return answer;
}

}

// Guards against passing on, as an answer, a status that HTTP does not have, or an interim one as if it were final.
TEST_CASE("An answer has a status from 200 to 599")
{
    const std::string rest = " Text\r\nContent-Length: 4\r\n\r\nbody";

    SECTION("others are malformed")
    {
        const std::string status = GENERATE(as<std::string>(), "000", "001", "099", "101", "600", "700", "999", "1000", "20", "2x0", "-20", "");
        CAPTURE(status);
        const ReceivedAnswer answer = receive("HTTP/1.1 " + status + rest);
        CHECK_FALSE(answer.response);
        CHECK(answer.failure.error == ClientError::Malformed);
    }
    SECTION("those are passed on, known or not")
    {
        const int status = GENERATE(200, 299, 304, 404, 451, 500, 599);
        const ReceivedAnswer answer = receive("HTTP/1.1 " + std::to_string(status) + rest);
        CAPTURE(answer.failure.detail);
        REQUIRE(answer.response);
        CHECK(answer.response->status == status);
    }
}

// Guards against a request that was run and answered, and failed for its caller, since interim answers came first.
TEST_CASE("Interim answers are skipped")
{
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    const std::string interim = GENERATE(
        as<std::string>(), "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n", "HTTP/1.1 199 Unknown\r\n\r\n");
    CAPTURE(interim);

    SECTION("one or several before the final answer, whose headers alone count")
    {
        const ReceivedAnswer answer = receive(interim + interim + final);
        CAPTURE(answer.failure.detail);
        REQUIRE(answer.response);
        CHECK(answer.response->status == 200);
        CHECK(answer.response->body == "body");
        CHECK_FALSE(answer.response->headers.find("Link"));
    }
    SECTION("without a final answer there is none")
    {
        const ReceivedAnswer answer = receive(interim);
        CHECK_FALSE(answer.response);
        CHECK(answer.failure.error == ClientError::Closed);
    }
    SECTION("more than a server has reason to send are malformed")
    {
        std::string many;
        for (int number = 0; number < 40; ++number) {
            many += interim;
        }
        const ReceivedAnswer answer = receive(many + final);
        CHECK_FALSE(answer.response);
        CHECK(answer.failure.error == ClientError::Malformed);
    }
}

// Guards against a body that is not what the server meant: its coding is unknown here, and the header that names it is not passed on.
TEST_CASE("The body of an answer comes without a transfer coding, or in chunks alone")
{
    const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";

    SECTION("chunks are read, however their coding is written")
    {
        const std::string coding = GENERATE(as<std::string>(), "chunked", "Chunked", " chunked ");
        CAPTURE(coding);
        const ReceivedAnswer answer = receive("HTTP/1.1 200 OK\r\nTransfer-Encoding:" + coding + "\r\n\r\n" + chunks);
        CAPTURE(answer.failure.detail);
        REQUIRE(answer.response);
        CHECK(answer.response->body == "body");
    }
    SECTION("other codings are malformed")
    {
        const std::string fields = GENERATE(as<std::string>(),
                                            "Transfer-Encoding: gzip\r\n",
                                            "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
                                            "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
                                            "Transfer-Encoding: chunked, gzip\r\n",
                                            "Transfer-Encoding: gzip, chunked\r\n",
                                            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                                            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                            "Transfer-Encoding: chunked, chunked\r\n",
                                            "Transfer-Encoding: chunked;level=1\r\n",
                                            "Transfer-Encoding: xchunked\r\n",
                                            "Transfer-Encoding: identity\r\n",
                                            "Transfer-Encoding:\r\n",
                                            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                                            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n");
        CAPTURE(fields);
        const ReceivedAnswer answer = receive("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + chunks);
        CHECK_FALSE(answer.response);
        CHECK(answer.failure.error == ClientError::Malformed);
    }
    SECTION("chunks in HTTP/1.0 are malformed")
    {
        const ReceivedAnswer answer = receive("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
        CHECK_FALSE(answer.response);
        CHECK(answer.failure.error == ClientError::Malformed);
    }
}

// Guards against a line that is no field and is passed on, or that hides the length of the body.
TEST_CASE("A line of a head or of a trailer that is no field makes the answer malformed")
{
    using namespace std::string_literals;
    const std::string line = GENERATE(as<std::string>(),
                                      "Content-Length : 4\r\n",
                                      "Content-Length\t: 4\r\n",
                                      " Content-Length: 4\r\n",
                                      "\tContent-Length: 4\r\n",
                                      "Content Length: 4\r\n",
                                      "Content-Length\x01: 4\r\n",
                                      "\x7f"
                                      "Content-Length: 4\r\n",
                                      "Content-Length\0: 4\r\n"s,
                                      "Content\xe4Length: 4\r\n",
                                      " Transfer-Encoding: chunked\r\n",
                                      "Transfer-Encoding : chunked\r\n",
                                      "X-(Note): 4\r\n",
                                      "X-Note\r\n",
                                      ": 4\r\n",
                                      "X-Note: \x01\r\n",
                                      "X-Note: a\rb\r\n",
                                      "X-Note: a\nb: c\r\n",
                                      "X-Note: a\r\n folded\r\n");
    CAPTURE(line);

    SECTION("as the first line of the head")
    {
        const ReceivedAnswer answer = receive("HTTP/1.1 200 OK\r\n" + line + "\r\nbody");
        CHECK_FALSE(answer.response);
        CHECK(answer.failure.error == ClientError::Malformed);
    }
    SECTION("behind another line of the head")
    {
        const ReceivedAnswer answer = receive("HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\nbody");
        CHECK_FALSE(answer.response);
        CHECK(answer.failure.error == ClientError::Malformed);
    }
    SECTION("in the trailer")
    {
        const ReceivedAnswer answer = receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-First: 1\r\n" + line + "\r\n");
        const bool folded = line.starts_with(' ') || line.starts_with('\t') || line.find("\r\n ") != std::string::npos;
        // Trailers are dropped, so that a folded line in one changes nothing.
        CHECK(answer.response.has_value() == folded);
    }
}
