#include "balancing/tests/simulatedfleet.h"

using namespace rosemaryshift;
using namespace rosemaryshift::balancing;
using namespace rosemaryshift::balancing::tests;

namespace {

constexpr std::size_t Hosts = 89;
constexpr std::size_t Upstreams = 60;
constexpr double RequestsPerSecond = 393;
/// Time within which the hosts have to know the speeds, from a start or a change.
constexpr double LearnedWithin = 5;
constexpr double ChangeAt = 12;
constexpr double Seconds = 24;

/// Speed of the upstream's machine; each third is of another kind, and the kinds change places at ChangeAt.
double speedAt(std::size_t upstream, double time)
{
    return upstream % 3 == (time < ChangeAt ? 0U : 1U) ? 1.7 : 0.7;
}

SimulatedFleet unequalFleet(bool pooledSpeeds)
{
    SimulatedFleet fleet(Hosts, Upstreams, false);
    fleet.setPooledSpeeds(pooledSpeeds);
    fleet.setSlowness([](std::size_t upstream, double time) { return 1 / speedAt(upstream, time); });
    fleet.setSeconds(Seconds);
    return fleet;
}

/// Part of the requests between two times that went to the fast upstreams.
double fastShare(const SimulatedFleet &fleet, double begin, double end)
{
    double fast = 0;
    double all = 0;
    for (const SimulatedRequest &request : fleet.requests()) {
        if (request.arrivedAt >= begin && request.arrivedAt < end) {
            all += 1;
            fast += speedAt(request.upstream, request.arrivedAt) > 1 ? 1 : 0;
        }
    }
    return fast / all;
}

/// A quantile of the time to the first event, without the times in which the hosts learn.
double firstEventQuantile(const SimulatedFleet &fleet, double quantile)
{
    std::vector<double> times;
    for (const SimulatedRequest &request : fleet.requests()) {
        const double sinceChange = request.arrivedAt - (request.arrivedAt < ChangeAt ? 0 : ChangeAt);
        if (request.firstEventAt > 0 && sinceChange >= LearnedWithin) {
            times.push_back(request.firstEventAt - request.arrivedAt);
        }
    }
    std::ranges::sort(times);
    return times.at(static_cast<std::size_t>(quantile * static_cast<double>(times.size())));
}

}

// Guards against a fleet in which no host meets an upstream often enough to learn its speed: fast and slow upstreams get the same number of requests.
TEST_CASE("Hosts that measure upstreams together send them requests in proportion to their speeds")
{
    SimulatedFleet pooled = unequalFleet(true);
    pooled.play(RequestsPerSecond);
    SimulatedFleet alone = unequalFleet(false);
    alone.play(RequestsPerSecond);
    constexpr double SpeedShare = 1.7 / (1.7 + 0.7 + 0.7);
    CAPTURE(fastShare(alone, LearnedWithin, ChangeAt), firstEventQuantile(alone, 0.99), firstEventQuantile(pooled, 0.99));

    CHECK(fastShare(pooled, LearnedWithin, ChangeAt) == Approx(SpeedShare).epsilon(0.1));
    CHECK(fastShare(pooled, ChangeAt + LearnedWithin, Seconds) == Approx(SpeedShare).epsilon(0.1));
    CHECK(firstEventQuantile(pooled, 0.99) <= 0.7 * firstEventQuantile(alone, 0.99));
}

TEST_CASE("Hosts that measure upstreams together overload them no more often than hosts that measure alone")
{
    const double demand = 16.0 * 74;
    SimulatedFleet pooled(77, 74, false);
    pooled.setPooledSpeeds(true);
    const double together = pooled.play(demand).inTime();
    CHECK(together >= SimulatedFleet(77, 74, false).play(demand).inTime());
}

// Guards against a faulty upstream that fails at once, is taken for a fast one by all hosts and gets ever more requests.
TEST_CASE("An error that comes fast does not make an upstream look fast")
{
    const bool isEvent = GENERATE(true, false);
    const std::vector<Candidate> candidates{{"i-1", "zone", Slots, 0, false}};
    const std::vector<ports::PromptPart> parts{{1, 6'000}};
    const RequestProfile profile{"engines", "zone", parts, 6'000, true};
    UpstreamBalancer balancer;
    for (int request = 0; request < 10; ++request) {
        const std::optional<Choice> choice = balancer.choose(profile, candidates, at(request));
        const std::uint64_t attempt = balancer.begin(profile, *choice, at(request));
        balancer.recordFirstEvent(attempt, at(request + 0.001), isEvent);
        balancer.end(attempt, isEvent ? AttemptEnd::Succeeded : AttemptEnd::Failed, at(request + 0.002));
    }
    CHECK((balancer.speeds().slowness("i-1", at(10)) < 1) == isEvent);
}
