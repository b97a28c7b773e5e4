#include "gateway/internal/eventsplitter.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::gateway;

TEST_CASE("Only whole events are passed on")
{
    EventSplitter splitter;
    CHECK(splitter.take("id: 1\ndata: a\n").empty());
    CHECK(!splitter.lastId());
    CHECK(splitter.take("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.rest() == "id: 2\nda");

    SECTION("another upstream begins the broken event anew")
    {
        splitter.dropRest();
        CHECK(splitter.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
        CHECK(splitter.lastId() == "2");
    }
    SECTION("several events at once go on together")
    {
        CHECK(splitter.take("ta: b\n\nid: 3\ndata: c\n\nid: 4") == "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        CHECK(splitter.lastId() == "3");
        CHECK(splitter.rest() == "id: 4");
    }
}

TEST_CASE("Lines may end with carriage returns, and events may lack an id")
{
    EventSplitter splitter;
    CHECK(splitter.take("id: 7\r\ndata: a\r\n\r\ndata: b\r\n\r\n") == "id: 7\r\ndata: a\r\n\r\ndata: b\r\n\r\n");
    CHECK(splitter.lastId() == "7");
}
