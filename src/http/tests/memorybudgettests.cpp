#include "http/memorybudget.h"

#include "http/tests/polledserver.h"

#include <boost/asio/awaitable.hpp>

#include <catch2/catch.hpp>

using namespace rosemaryshift::http;
using namespace rosemaryshift::http::testing;

TEST_CASE("Requests and answers together take no more than their budget")
{
    const std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(100);
    MemoryShare first(budget);
    REQUIRE(first.resize(60));

    SECTION("one that would exceed it is refused, and keeps what it had")
    {
        MemoryShare second(budget);
        REQUIRE(second.resize(30));
        CHECK(!second.resize(41));
        CHECK(budget->used() == 90);
        CHECK(second.resize(40));

        SECTION("until others have given theirs back")
        {
            first.release();
            CHECK(second.resize(100));
            CHECK(budget->used() == 100);
        }
        SECTION("while one that shrinks is always granted")
        {
            CHECK(second.resize(10));
            CHECK(budget->used() == 70);
        }
    }
    SECTION("what an ended one had is given back")
    {
        {
            MemoryShare second(budget);
            REQUIRE(second.resize(40));
        }
        CHECK(budget->used() == 60);
    }
    SECTION("without a budget there is no bound")
    {
        MemoryShare unbounded(nullptr);
        CHECK(unbounded.resize(1'000'000));
    }
}

// Guards against callers that are told that their request is wrong when the server lacks memory for it.
TEST_CASE("A request that does not fit into the memory is refused as one that may be sent again")
{
    ServerLimits limits;
    limits.memory = std::make_shared<MemoryBudget>(1'000);
    PolledServer server(limits, [](Request, IResponseWriter &) -> boost::asio::awaitable<void> { co_return; });
    boost::asio::ip::tcp::socket caller = server.connect();
    send(caller, "POST /booking HTTP/1.1\r\nHost: yard.example\r\nContent-Length: 2000\r\n\r\n" + std::string(2'000, 'b'));
    const std::string answer = server.receive(caller, "out_of_memory");
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 503 "));
    CHECK_THAT(answer, Catch::Contains("\r\nRetry-After: "));
    CHECK_THAT(answer, Catch::Contains("\r\nRosemaryshift-Run: not-run\r\n"));
    CHECK_THAT(answer, Catch::Contains(R"("type":"server_error")"));
}
