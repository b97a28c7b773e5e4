#include "gateway/internal/wallclockestimator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::gateway;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{100s};

/// How far the estimate is ahead of the host's own clock.
Duration ahead(const WallClockEstimator &estimator)
{
    return estimator.sinceEpoch(Now) - estimator.ownSinceEpoch(Now);
}

}

// Guards against a wall clock that depends on which peers were heard last, or that a minority of wrong clocks moves.
TEST_CASE("The wall clock of a host is the median of all hosts' clocks")
{
    WallClockEstimator estimator;
    const Duration own = estimator.ownSinceEpoch(Now);
    CHECK(ahead(estimator) == Duration::zero());

    SECTION("a minority of wrong clocks changes little")
    {
        estimator.notePeer("entry-2", own + 1h, Now);
        estimator.notePeer("entry-3", own + 3ms, Now);
        CHECK(ahead(estimator) == 3ms);

        SECTION("a peer that is forgotten does not count any more")
        {
            estimator.forgetPeer("entry-2");
            estimator.forgetPeer("entry-2");
            CHECK(ahead(estimator) == 3ms);
            estimator.forgetPeer("entry-3");
            CHECK(ahead(estimator) == Duration::zero());
        }
    }
    SECTION("any order of reports gives the median of the last ones")
    {
        std::mt19937 random(1);
        std::map<int, Duration> last;
        for (int report = 0; report < 2'000; ++report) {
            const int host = static_cast<int>(random() % 294);
            const Duration offset = std::chrono::milliseconds(static_cast<int>(random() % 9) - 4);
            last[host] = offset;
            estimator.notePeer("entry-" + std::to_string(host), own + offset, Now);
            if (random() % 20 == 0) {
                estimator.forgetPeer("entry-" + std::to_string(host));
                last.erase(host);
            }
            std::vector<Duration> offsets{Duration::zero()};
            std::ranges::transform(last, std::back_inserter(offsets), &std::pair<const int, Duration>::second);
            std::ranges::sort(offsets);
            REQUIRE(ahead(estimator) == offsets[offsets.size() / 2]);
        }
    }
}
