#include "limits/connectionshare.h"
#include "limits/retrybudget.h"
#include "limits/workspacequotas.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::limits;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

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

TEST_CASE("A workspace gets its quota and no more")
{
    WorkspaceQuotas quotas;
    const std::vector<routing::Workspace> workspaces{makeWorkspace(1'000, 2'000)};
    quotas.configure(workspaces, Start - std::chrono::seconds(10));
    quotas.setShare("yard", 1, Start - std::chrono::seconds(10));

    SECTION("over a long time its rate passes")
    {
        double passed = 0;
        for (int request = 0; request < 6'000; ++request) {
            const TimePoint now = Start + std::chrono::milliseconds(10) * request;
            passed += quotas.take("yard", 100, now) ? 0 : 100;
        }
        CHECK(passed <= 60 * 1'000 + 2'000 + 100);
        CHECK(passed >= 60 * 1'000 * 0.98);
    }
    SECTION("a request larger than the burst passes, and the debt is paid back first")
    {
        REQUIRE(!quotas.take("yard", 5'000, Start + std::chrono::milliseconds(10)));
        const std::optional<Duration> wait = quotas.take("yard", 1, Start + std::chrono::milliseconds(10));
        REQUIRE(wait);
        CHECK(*wait > std::chrono::milliseconds(3'900));
        CHECK(!quotas.take("yard", 1, Start + std::chrono::milliseconds(20) + *wait));
    }
    SECTION("what did not run is given back")
    {
        REQUIRE(!quotas.take("yard", 5'000, Start + std::chrono::milliseconds(10)));
        quotas.refund("yard", 5'000);
        CHECK(!quotas.take("yard", 1, Start + std::chrono::milliseconds(10)));
    }
    SECTION("a workspace without a limit is not held back")
    {
        const std::vector<routing::Workspace> unlimited{makeWorkspace(0, 0)};
        quotas.configure(unlimited, Start);
        for (int request = 0; request < 1'000; ++request) {
            CHECK(!quotas.take("yard", 1e6, Start));
        }
    }
    SECTION("a quota cut far below the demand holds at once")
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

TEST_CASE("Hosts that share a quota by their demand keep the sum, though their callers move")
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
    std::vector<std::map<std::string, double>> told(Hosts);
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
                told[host] = hosts[host].demand(now);
            }
            double total = 0;
            for (const std::map<std::string, double> &demand : told) {
                total += demand.at("yard");
            }
            for (std::size_t host = 0; host < Hosts; ++host) {
                hosts[host].setShare("yard", quotaShare(told[host].at("yard"), total, Hosts), now);
            }
        }
        std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
        // Seven times what the quota allows.
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

TEST_CASE("Second offers stay within the budget of all hosts")
{
    RetryBudget budget({std::chrono::seconds(10), 0.2, 56});
    budget.setHosts(8);

    SECTION("a host without requests has its part of the slack")
    {
        int taken = 0;
        while (taken < 100 && budget.take("engines", Start)) {
            ++taken;
        }
        CHECK(taken == 5);
        CHECK(budget.take("dispatch", Start));
    }
    SECTION("requests earn second offers, for as long as the window lasts")
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
}

TEST_CASE("Hosts that hear each other serve a workspace's bursts though its callers all meet one of them")
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
    std::size_t favoured = 0;
    int refused = 0;
    int asked = 0;
    std::deque<TimePoint> passed;
    double worst = 0;
    for (int step = 0; step < 40'000; ++step) {
        const TimePoint now = Start + std::chrono::milliseconds(1) * step;
        if (step % 1'500 == 0) {
            favoured = random() % Hosts;
        }
        if (step % 400 == 0) {
            double total = 0;
            for (const WorkspaceQuotas &host : hosts) {
                total += host.demand(now).at("yard");
            }
            for (WorkspaceQuotas &host : hosts) {
                host.setShare("yard", quotaShare(host.demand(now).at("yard"), total, Hosts), now);
            }
        }
        // Each host tells the others at its own moment.
        const std::size_t teller = static_cast<std::size_t>(step) % 400 / 50;
        if (step % 50 == 0) {
            for (std::size_t host = 0; host < Hosts; ++host) {
                if (host != teller) {
                    hosts[host].updatePeerUsage("entry-" + std::to_string(teller), hosts[teller].used(), now);
                }
            }
        }
        if (std::uniform_real_distribution<double>(0, 1)(random) < load * PerSecond / Cost / 1'000) {
            const std::size_t host = random() % 4 != 0 ? favoured : random() % Hosts;
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

TEST_CASE("What a workspace's quota allows is hardly ever refused while callers ask for several times as much")
{
    // Pattern: one workspace asks for more than its quota all day, at all hosts, with requests of very different sizes. Hosts that know of each
    // other's use late refuse what a single bucket would pass, unless a part of the promised tolerance is given to callers.
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
    double single = Burst;
    double allowed = 0;
    double refusedThough = 0;
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
            }
        }
        if (step % 50 == 0) {
            const std::size_t teller = static_cast<std::size_t>(step) % 400 / 50;
            for (std::size_t host = 0; host < Hosts; ++host) {
                if (host != teller) {
                    hosts[host].updatePeerUsage("entry-" + std::to_string(teller), hosts[teller].used(), now);
                }
            }
        }
        single = std::min(Burst, single + PerSecond / 1'000);
        const bool plan = std::uniform_real_distribution<double>(0, 1)(random) < 0.2;
        const double cost = plan ? 7'000 : 1'900;
        const double meanCost = 0.2 * 7'000 + 0.8 * 1'900;
        if (std::uniform_real_distribution<double>(0, 1)(random) >= load * PerSecond / meanCost / 1'000) {
            continue;
        }
        const bool singlePasses = single > 0;
        single -= singlePasses ? cost : 0;
        const bool passes = !hosts[random() % Hosts].take("yard", cost, now);
        allowed += singlePasses ? cost : 0;
        refusedThough += singlePasses && !passes ? cost : 0;
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
        CHECK(refusedThough <= allowed * 0.01);
    }
}

TEST_CASE("Hosts share the connections that an upstream takes")
{
    CHECK(connectionShare(20, 8) == 2);
    CHECK(connectionShare(370, 8) * 8 <= 370);
    CHECK(connectionShare(370, 420) == 1);
    CHECK(connectionShare(0, 8) == 0);
}
