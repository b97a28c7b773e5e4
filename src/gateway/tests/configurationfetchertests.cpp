#include "gateway/internal/configurationfetcher.h"

#include <catch2/catch.hpp>

#include <set>

using namespace rosemaryshift::gateway;
using std::chrono::milliseconds;

TEST_CASE("A configuration is fetched from any of the peers that have it, but not twice in a row from one that failed")
{
    const std::vector<std::string> candidates{"10.0.0.1", "10.0.0.2", "10.0.0.3"};
    std::set<std::string> chosen;
    std::set<std::string> chosenAfterFailure;
    for (const double fraction : {0.0, 0.3, 0.5, 0.7, 0.999}) {
        chosen.insert(chooseFetchSource(candidates, "", fraction));
        chosenAfterFailure.insert(chooseFetchSource(candidates, "10.0.0.2", fraction));
    }
    CHECK(chosen == std::set<std::string>(candidates.begin(), candidates.end()));
    CHECK(chosenAfterFailure == std::set<std::string>{"10.0.0.1", "10.0.0.3"});
    CHECK(chooseFetchSource(std::vector<std::string>{"10.0.0.2"}, "10.0.0.2", 0.5) == "10.0.0.2");
}

TEST_CASE("The delay of fetching a configuration grows with each failure up to a limit, and differs between hosts")
{
    CHECK(fetchDelay(0, 0.5) == milliseconds(250));
    CHECK(fetchDelay(1, 0.5) == milliseconds(500));
    CHECK(fetchDelay(2, 0.5) == milliseconds(1'000));
    CHECK(fetchDelay(3, 0.5) == milliseconds(1'600));
    CHECK(fetchDelay(1'000, 0.5) == milliseconds(1'600));
    CHECK(fetchDelay(0, 0) == milliseconds(125));
    CHECK(fetchDelay(3, 0.99) < milliseconds(2'400));
}
