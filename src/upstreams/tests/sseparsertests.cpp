#include "upstreams/sseparser.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::upstreams;

SCENARIO("Server-sent events are parsed wherever the byte stream is split")
{
    const std::string stream = ": comment\r\ndata: {\"a\":1}\r\n\r\nevent: x\ndata: one\ndata: two\n\n\n\ndata:[DONE]\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        SseParser parser;
        std::vector<std::string> events = parser.feed(std::string_view(stream).substr(0, cut));
        for (const std::string &event : parser.feed(std::string_view(stream).substr(cut))) {
            events.push_back(event);
        }
        REQUIRE(events == std::vector<std::string>{"{\"a\":1}", "one\ntwo", "[DONE]"});
    }
    GIVEN("an event of 2 MiB without an end")
    {
        SseParser parser;
        parser.feed("data: " + std::string(2 * 1024 * 1024, 'x'));
        CHECK(parser.overflowed());
    }
}
