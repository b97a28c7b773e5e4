#include "http/memorybudget.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::http;

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
