#include "moves/moveplanner.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::moves;
using namespace std::chrono_literals;

namespace {

/// A stream that has passed on 100 tokens in a second.
StreamProgress stream(std::uint64_t mostTokens, std::optional<std::uint64_t> expectedTokens = std::nullopt, std::uint64_t promptTokens = 1'000)
{
    return {promptTokens, 100, mostTokens, expectedTokens, 1s};
}

std::vector<std::size_t> indexes(std::span<const PlannedMove> moves)
{
    std::vector<std::size_t> all;
    for (const PlannedMove &move : moves) {
        all.push_back(move.stream);
    }
    return all;
}

}

TEST_CASE("MovePlanner moves the streams that would be lost with their upstream")
{
    // A token takes 8 ms, so that 1,100 tokens take 8.8 s.
    const LinkSpec slowLink{1'000, 1e6};
    const LinkSpec fastLink{1'000, 1e12};

    SECTION("a stream that ends in time at the pace seen so far stays, one that comes close to the end of the time is moved")
    {
        const std::vector<StreamProgress> streams{stream(200), stream(280), stream(2'000)};
        CHECK(indexes(MovePlanner(fastLink).plan(streams, 2s)) == std::vector<std::size_t>{2, 1});
    }
    SECTION("the caller's estimate of the length counts while the stream has not exceeded it")
    {
        CHECK(MovePlanner::endsWithin(stream(2'000, 150), 2s));
        CHECK(!MovePlanner::endsWithin(stream(2'000, 90), 2s));
        CHECK(MovePlanner::endsWithin(stream(150, 5'000), 2s));
    }
    SECTION("a stream without a pace is not expected to end, one that has all its tokens is")
    {
        CHECK(!MovePlanner::endsWithin({1'000, 0, 10, std::nullopt, 0s}, 2s));
        CHECK(MovePlanner::endsWithin({1'000, 10, 10, std::nullopt, 0s}, 0s));
    }
    SECTION("the worthiest go first, one after another on the link, and what it cannot carry in time is left out")
    {
        const std::vector<StreamProgress> streams{stream(1'000, std::nullopt, 20), stream(900, std::nullopt, 500), stream(2'000, std::nullopt, 80)};
        const std::vector<PlannedMove> moves = MovePlanner(slowLink).plan(streams, 3500ms);
        CHECK(indexes(moves) == std::vector<std::size_t>{2, 0}); // 600 tokens take 4.8 s.
        CHECK(moves.at(0).startsAfter == 0s);
        CHECK(moves.at(1).startsAfter == 1440ms);
        CHECK(moves.at(1).transferTime == 960ms);
    }
    SECTION("a link that is not known is taken for a fast one")
    {
        CHECK(MovePlanner({}).transferTime(1'000'000) == 0s);
    }
}
