#include "secondtries/secondtrypolicy.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::secondtries;
using std::chrono::milliseconds;

namespace {

constexpr RequestClass Lookup{"lookup", false, 0};

/// A slow request of which nothing speaks against a second try.
SlowTry slowTry()
{
    return {true, true, true, milliseconds(50), milliseconds(1'000), milliseconds(20)};
}

/// Notes that of a hundred requests some took much longer than the others.
void noteTimes(SecondTryPolicy &policy, TimePoint now)
{
    for (int i = 0; i < 100; ++i) {
        policy.noteAnswer(Lookup, milliseconds(i < 92 ? 20 : 200), now);
    }
}

}

TEST_CASE("A second try is sent only where everything allows it")
{
    const TimePoint now{};
    SecondTryPolicy policy({0.1, 0.9});
    for (int i = 0; i < 10; ++i) {
        policy.noteRequest();
    }
    SECTION("none before enough times of such requests were seen")
    {
        policy.noteAnswer(Lookup, milliseconds(20), now);
        CHECK(!policy.delay(Lookup, now));
        CHECK(policy.refusal(Lookup, slowTry(), now) == NotSentReason::NoDistribution);
    }
    SECTION("with a distribution, after the time within which nearly all such requests had an answer")
    {
        noteTimes(policy, now);
        REQUIRE(policy.delay(Lookup, now));
        CHECK(*policy.delay(Lookup, now) >= milliseconds(20));
        CHECK(*policy.delay(Lookup, now) < milliseconds(25));
        CHECK(!policy.refusal(Lookup, slowTry(), now));
        CHECK(!policy.delay({"lookup", true, 0}, now));

        SlowTry slow = slowTry();
        SECTION("not for a request that may not be repeated")
        {
            slow.repeatable = false;
            CHECK(policy.refusal(Lookup, slow, now) == NotSentReason::NotRepeatable);
        }
        SECTION("not beyond the route's attempts")
        {
            slow.attemptsLeft = false;
            CHECK(policy.refusal(Lookup, slow, now) == NotSentReason::NoAttempts);
        }
        SECTION("not with the part of the retry budget that requests need which have failed")
        {
            slow.retryBudgetLeft = false;
            CHECK(policy.refusal(Lookup, slow, now) == NotSentReason::NoRetryBudget);
        }
        SECTION("not without another upstream, or one that is expected to answer later than the first or than the caller waits")
        {
            slow.expected.reset();
            CHECK(policy.refusal(Lookup, slow, now) == NotSentReason::NoUpstream);
            slow.expected = milliseconds(300);
            CHECK(policy.refusal(Lookup, slow, now) == NotSentReason::NoRoom);
            slow.expected = milliseconds(20);
            slow.timeLeft = milliseconds(10);
            CHECK(policy.refusal(Lookup, slow, now) == NotSentReason::NoRoom);
        }
        SECTION("not beyond the share")
        {
            policy.noteSecondTry();
            CHECK(policy.refusal(Lookup, slow, now) == NotSentReason::ShareUsed);
            CHECK(name(NotSentReason::ShareUsed) == "share_used");
        }
        SECTION("not once the times are old")
        {
            CHECK(!policy.delay(Lookup, now + std::chrono::seconds(20)));
        }
    }
    SECTION("not unless the settings allow it")
    {
        SecondTryPolicy off({});
        noteTimes(off, now);
        CHECK(!off.enabled());
        CHECK(!off.delay(Lookup, now));
        off.noteRequest();
        CHECK(off.refusal(Lookup, slowTry(), now) == NotSentReason::ShareUsed);
    }
}

TEST_CASE("Second tries of 89 hosts that do not hear each other stay within the share, however slow the upstreams are")
{
    constexpr double Share = 0.05;
    const TimePoint now{};
    std::vector<SecondTryPolicy> hosts(89, SecondTryPolicy({Share, 0.95}));
    for (SecondTryPolicy &host : hosts) {
        noteTimes(host, now);
    }
    int requests = 0;
    int secondTries = 0;
    std::vector<int> saved(hosts.size());
    for (int round = 0; round < 500; ++round) {
        // The load of the hosts differs, and after a calm time all requests are slow.
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            for (std::size_t j = 0; j <= i % 7; ++j) {
                ++requests;
                hosts[i].noteRequest();
                if (round >= 200 && !hosts[i].refusal(Lookup, slowTry(), now)) {
                    hosts[i].noteSecondTry();
                    ++secondTries;
                }
            }
        }
        REQUIRE(secondTries <= Share * requests);
    }
    CHECK(secondTries > 0.5 * Share * requests);
}
