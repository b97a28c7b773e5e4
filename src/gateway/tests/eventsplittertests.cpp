#include "gateway/internal/eventsplitter.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::gateway;

TEST_CASE("EventSplitter returns only complete events")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 1\ndata: a\n").empty());
    CHECK(!splitter.lastId());
    CHECK(splitter.push("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.partialEvent() == "id: 2\nda");

    SECTION("after a discarded partial event, the next upstream sends that event from its start")
    {
        splitter.discardPartialEvent();
        CHECK(splitter.push("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
        CHECK(splitter.lastId() == "2");
    }
    SECTION("several events that complete at once are returned together")
    {
        CHECK(splitter.push("ta: b\n\nid: 3\ndata: c\n\nid: 4") == "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        CHECK(splitter.lastId() == "3");
        CHECK(splitter.partialEvent() == "id: 4");
    }
}

TEST_CASE("EventSplitter accepts CRLF line ends and events without an id")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 7\r\ndata: a\r\n\r\ndata: b\r\n\r\n") == "id: 7\r\ndata: a\r\n\r\ndata: b\r\n\r\n");
    CHECK(splitter.lastId() == "7");
}

TEST_CASE("EventSplitter tells whether a stream ends inside an event")
{
    EventSplitter splitter;
    CHECK(!splitter.insideEvent());
    splitter.push("id: 1\ndata: a\n");
    CHECK(splitter.insideEvent());

    SECTION("no longer after the empty line that ends the event")
    {
        splitter.push("\n");
        CHECK(!splitter.insideEvent());

        SECTION("nor after further empty lines")
        {
            splitter.push("\r\n");
            CHECK(!splitter.insideEvent());
        }
        SECTION("but after the first byte of the next event")
        {
            splitter.push("i");
            CHECK(splitter.insideEvent());
        }
    }
}

TEST_CASE("EventSplitter finds the end of an event wherever the stream is cut into pieces")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        for (std::size_t second = first; second <= stream.size(); ++second) {
            EventSplitter splitter;
            std::string events = splitter.push(stream.substr(0, first));
            events += splitter.push(stream.substr(first, second - first));
            events += splitter.push(stream.substr(second));
            CHECK(events == stream);
            CHECK(splitter.lastId() == "2");
        }
    }
}

TEST_CASE("EventSplitter reports an event that is too large")
{
    constexpr std::size_t MebiByte = 1024 * 1024;
    EventSplitter splitter;
    splitter.push(std::string(MebiByte, 'x'));
    CHECK(!splitter.overflowed());
    splitter.push("x");
    CHECK(splitter.overflowed());
}
