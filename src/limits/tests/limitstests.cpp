#include "limits/connectionshare.h"
#include "limits/retrybudget.h"
#include "limits/workspacequotas.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::limits;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
/// Time between the reports of a host.
constexpr std::chrono::milliseconds ReportInterval{400};

routing::Workspace makeWorkspace(double perSecond, double burst)
{
    routing::Workspace workspace;
    workspace.name = "yard";
    workspace.unit = routing::QuotaUnit::Tokens;
    workspace.perSecond = perSecond;
    workspace.burst = burst;
    return workspace;
}

}

TEST_CASE("A host with the whole share of a workspace's quota admits that quota and no more")
{
    WorkspaceQuotas quotas;
    const std::vector<routing::Workspace> workspaces{makeWorkspace(1'000, 2'000)};
    quotas.configure(workspaces, Start - std::chrono::seconds(10));
    quotas.setShare("yard", 1, Start - std::chrono::seconds(10));

    SECTION("over one minute the admitted cost is close to the quota's rate")
    {
        double passed = 0;
        for (int request = 0; request < 6'000; ++request) {
            const TimePoint now = Start + std::chrono::milliseconds(10) * request;
            passed += quotas.take("yard", 100, now) ? 0 : 100;
        }
        CHECK(passed <= 60 * 1'000 + 2'000 + 100);
        CHECK(passed >= 60 * 1'000 * 0.98);
    }
    SECTION("a request larger than the burst is admitted, and the next one waits until the debt is refilled")
    {
        REQUIRE(!quotas.take("yard", 5'000, Start + std::chrono::milliseconds(10)));
        const std::optional<Duration> wait = quotas.take("yard", 1, Start + std::chrono::milliseconds(10));
        REQUIRE(wait);
        CHECK(*wait > std::chrono::milliseconds(3'900));
        CHECK(!quotas.take("yard", 1, Start + std::chrono::milliseconds(20) + *wait));
    }
    SECTION("the cost of a request that did not run is refunded")
    {
        REQUIRE(!quotas.take("yard", 5'000, Start + std::chrono::milliseconds(10)));
        quotas.refund("yard", 5'000);
        CHECK(!quotas.take("yard", 1, Start + std::chrono::milliseconds(10)));
    }
    SECTION("a workspace without a limit is never refused")
    {
        const std::vector<routing::Workspace> unlimited{makeWorkspace(0, 0)};
        quotas.configure(unlimited, Start);
        for (int request = 0; request < 1'000; ++request) {
            CHECK(!quotas.take("yard", 1e6, Start));
        }
    }
    SECTION("a quota reduced far below the demand takes effect at once")
    {
        const std::vector<routing::Workspace> cut{makeWorkspace(10, 10)};
        quotas.configure(cut, Start + std::chrono::seconds(1));
        double passed = 0;
        for (int request = 0; request < 800; ++request) {
            passed += quotas.take("yard", 10, Start + std::chrono::seconds(1) + std::chrono::milliseconds(10) * request) ? 0 : 10;
        }
        CHECK(passed <= 8 * 10 + 10 + 10);
    }
}

TEST_CASE("Hosts that split a quota by demand stay within it in sum while callers move between them")
{
    constexpr std::size_t Hosts = 8;
    constexpr double PerSecond = 100'000;
    constexpr double Cost = 2'000;
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::vector<WorkspaceQuotas> hosts(Hosts);
    const std::vector<routing::Workspace> workspaces{makeWorkspace(PerSecond, PerSecond)};
    for (WorkspaceQuotas &host : hosts) {
        host.configure(workspaces, Start);
    }
    std::vector<double> weights(Hosts, 1);
    std::vector<std::map<std::string, double>> reported(Hosts);
    std::deque<std::pair<TimePoint, double>> passed;
    double inWindow = 0;
    double worst = 0;
    for (int step = 0; step < 60'000; ++step) {
        const TimePoint now = Start + std::chrono::milliseconds(1) * step;
        if (step % 2'000 == 0) {
            for (double &weight : weights) {
                weight = std::uniform_real_distribution<double>(0, 1)(random) < 0.3 ? 5 : 0.5;
            }
        }
        if (step % 400 == 0) {
            for (std::size_t host = 0; host < Hosts; ++host) {
                reported[host] = hosts[host].demand(now);
            }
            double total = 0;
            for (const std::map<std::string, double> &demand : reported) {
                total += demand.at("yard");
            }
            for (std::size_t host = 0; host < Hosts; ++host) {
                hosts[host].setShare("yard", quotaShare(reported[host].at("yard"), total, Hosts), now);
            }
        }
        std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
        // Callers request seven times the quota.
        if (std::uniform_real_distribution<double>(0, 1)(random) < 7 * PerSecond / Cost / 1'000) {
            if (!hosts[pick(random)].take("yard", Cost, now)) {
                passed.emplace_back(now, Cost);
                inWindow += Cost;
            }
        }
        while (!passed.empty() && now - passed.front().first > std::chrono::seconds(8)) {
            inWindow -= passed.front().second;
            passed.pop_front();
        }
        worst = std::max(worst, inWindow);
    }
    CHECK(worst <= (PerSecond * 8 + PerSecond) * 1.1);
    CHECK(worst >= PerSecond * 8 * 0.7);
}

TEST_CASE("Retries stay within this host's share of the retry budget")
{
    RetryBudget budget({std::chrono::seconds(10), 0.2, 56});
    budget.setHosts(8);

    SECTION("a host without requests may use its share of the slack for each service")
    {
        int taken = 0;
        while (taken < 100 && budget.take("engines", Start)) {
            ++taken;
        }
        CHECK(taken == 5);
        CHECK(budget.take("dispatch", Start));
    }
    SECTION("requests raise the number of permitted retries until they leave the window")
    {
        for (int request = 0; request < 100; ++request) {
            budget.noteRequest("engines", Start);
        }
        int taken = 0;
        while (taken < 100 && budget.take("engines", Start)) {
            ++taken;
        }
        CHECK(taken == 21);
        CHECK(!budget.take("engines", Start + std::chrono::seconds(9)));
        CHECK(budget.take("engines", Start + std::chrono::seconds(11)));
    }
    SECTION("requests that have not failed leave half of the retries to others")
    {
        int taken = 0;
        while (taken < 100 && budget.hasSpare("engines", Start) && budget.take("engines", Start)) {
            ++taken;
        }
        CHECK(taken == 2);
        CHECK(budget.take("engines", Start));
    }
}

TEST_CASE("Hosts that report their usage to each other admit a workspace's bursts even if most requests reach one host")
{
    constexpr std::size_t Hosts = 8;
    constexpr double PerSecond = 100'000;
    constexpr double Cost = 2'000;
    const double load = GENERATE(0.5, 7.0);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U);
    CAPTURE(load, seed);
    std::mt19937_64 random(seed);
    std::vector<WorkspaceQuotas> hosts(Hosts);
    const std::vector<routing::Workspace> workspaces{makeWorkspace(PerSecond, PerSecond)};
    for (WorkspaceQuotas &host : hosts) {
        host.configure(workspaces, Start - std::chrono::seconds(10));
        host.setPooled(true, Start);
    }
    std::size_t busiest = 0;
    int refused = 0;
    int asked = 0;
    std::deque<TimePoint> passed;
    double worst = 0;
    for (int step = 0; step < 40'000; ++step) {
        const TimePoint now = Start + std::chrono::milliseconds(1) * step;
        if (step % 1'500 == 0) {
            busiest = random() % Hosts;
        }
        if (step % 400 == 0) {
            double total = 0;
            for (const WorkspaceQuotas &host : hosts) {
                total += host.demand(now).at("yard");
            }
            for (WorkspaceQuotas &host : hosts) {
                host.setShare("yard", quotaShare(host.demand(now).at("yard"), total, Hosts), now);
                host.setTotalDemand("yard", total);
            }
        }
        // Hosts report at different times.
        const std::size_t reporter = static_cast<std::size_t>(step) % 400 / 50;
        if (step % 50 == 0) {
            for (std::size_t host = 0; host < Hosts; ++host) {
                if (host != reporter) {
                    hosts[host].updatePeerUsage("entry-" + std::to_string(reporter), hosts[reporter].used(), {now, ReportInterval}, now);
                }
            }
        }
        if (std::uniform_real_distribution<double>(0, 1)(random) < load * PerSecond / Cost / 1'000) {
            const std::size_t host = random() % 4 != 0 ? busiest : random() % Hosts;
            ++asked;
            if (hosts[host].take("yard", Cost, now)) {
                ++refused;
            } else {
                passed.push_back(now);
            }
        }
        while (!passed.empty() && now - passed.front() > std::chrono::seconds(8)) {
            passed.pop_front();
        }
        worst = std::max(worst, Cost * static_cast<double>(passed.size()));
    }
    CHECK(worst <= (PerSecond * 8 + PerSecond) * 1.1);
    if (load < 1) {
        CHECK(refused <= asked / 100);
    } else {
        CHECK(worst >= PerSecond * 8 * 0.85);
    }
}

TEST_CASE("Hosts rarely refuse what a workspace's quota allows, even while callers request several times the quota")
{
    // Failure: one workspace requests more than its quota at all hosts, with requests of very different sizes. Hosts learn of each other's usage
    // late and refuse what a single bucket would admit, unless a part of the tolerance is granted to callers.
    constexpr std::size_t Hosts = 8;
    constexpr double PerSecond = 36'000;
    constexpr double Burst = 36'000;
    const QuotaTolerance tolerance{0.1, 140'000};
    const double load = GENERATE(0.9, 1.2, 3.0);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U);
    CAPTURE(load, seed);
    std::mt19937_64 random(seed);
    std::deque<WorkspaceQuotas> hosts;
    const std::vector<routing::Workspace> workspaces{makeWorkspace(PerSecond, Burst)};
    for (std::size_t host = 0; host < Hosts; ++host) {
        hosts.emplace_back(tolerance).configure(workspaces, Start - std::chrono::seconds(10));
        hosts.back().setPooled(true, Start);
    }
    double singleBucket = Burst;
    double allowed = 0;
    double refusedWithinQuota = 0;
    double passed = 0;
    double inWindow = 0;
    double worst = 0;
    std::deque<std::pair<TimePoint, double>> window;
    for (int step = 0; step < 60'000; ++step) {
        const TimePoint now = Start + std::chrono::milliseconds(1) * step;
        if (step % 400 == 0) {
            double total = 0;
            for (const WorkspaceQuotas &host : hosts) {
                total += host.demand(now).at("yard");
            }
            for (WorkspaceQuotas &host : hosts) {
                host.setShare("yard", quotaShare(host.demand(now).at("yard"), total, Hosts), now);
                host.setTotalDemand("yard", total);
            }
        }
        if (step % 50 == 0) {
            const std::size_t reporter = static_cast<std::size_t>(step) % 400 / 50;
            for (std::size_t host = 0; host < Hosts; ++host) {
                if (host != reporter) {
                    hosts[host].updatePeerUsage("entry-" + std::to_string(reporter), hosts[reporter].used(), {now, ReportInterval}, now);
                }
            }
        }
        singleBucket = std::min(Burst, singleBucket + PerSecond / 1'000);
        const bool plan = std::uniform_real_distribution<double>(0, 1)(random) < 0.2;
        const double cost = plan ? 7'000 : 1'900;
        const double meanCost = 0.2 * 7'000 + 0.8 * 1'900;
        if (std::uniform_real_distribution<double>(0, 1)(random) >= load * PerSecond / meanCost / 1'000) {
            continue;
        }
        const bool singlePasses = singleBucket > 0;
        singleBucket -= singlePasses ? cost : 0;
        const bool passes = !hosts[random() % Hosts].take("yard", cost, now);
        allowed += singlePasses ? cost : 0;
        refusedWithinQuota += singlePasses && !passes ? cost : 0;
        if (passes) {
            passed += cost;
            inWindow += cost;
            window.emplace_back(now, cost);
        }
        while (now - window.front().first > std::chrono::seconds(8)) {
            inWindow -= window.front().second;
            window.pop_front();
        }
        worst = std::max(worst, inWindow);
    }
    CHECK(worst <= (PerSecond * 8 + Burst) * (1 + tolerance.excess) + tolerance.slack);
    CHECK(passed >= allowed * 0.98);
    if (load < 1) {
        CHECK(refusedWithinQuota <= allowed * 0.01);
    }
}

TEST_CASE("The connections that an upstream accepts are split among the hosts, at least one for each")
{
    CHECK(connectionShare(20, 8) == 2);
    CHECK(connectionShare(370, 8) * 8 <= 370);
    CHECK(connectionShare(370, 420) == 1);
    CHECK(connectionShare(0, 8) == 0);
}

// Guards against a bucket that gains the same time twice when a request is charged at an earlier time than the one before it.
TEST_CASE("Requests that are charged out of order gain nothing for a quota")
{
    WorkspaceQuotas quotas({0, 0});
    const std::vector<routing::Workspace> workspaces{makeWorkspace(1'000, 2'000)};
    quotas.configure(workspaces, Start);
    quotas.setShare("yard", 1, Start);
    double admitted = 0;
    for (int step = 0; step < 1'000; ++step) {
        const TimePoint now = Start + std::chrono::milliseconds(10) * step;
        const TimePoint charged = step % 2 == 0 ? now : now - std::chrono::milliseconds(500);
        admitted += quotas.take("yard", 100, charged) ? 0 : 100;
    }
    CHECK(admitted <= 1'000 * 10 + 2'000);
}
