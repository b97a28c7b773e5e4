#include "limits/workspacequotas.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <deque>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::limits;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr std::chrono::milliseconds ShortestInterval{400};
constexpr std::chrono::milliseconds NetworkDelay{1};
constexpr std::chrono::seconds QuotaWindow{8};
constexpr double PerSecond = 200'000;
constexpr double Burst = 200'000;
constexpr double MeanCost = 3'000;
constexpr QuotaTolerance Tolerance{0.1, 140'000};

/// What a host reports of its usage, on its way to another host or waiting there to be handled.
struct Report {
    TimePoint sentAt; ///< On the clock of the host that sends it, which differs from the others'.
    TimePoint arrivesAt;
    std::size_t from = 0;
    std::map<std::string, std::uint64_t> used;
    double demand = 0;
};

/// A host with the reports that wait for it.
struct Host {
    WorkspaceQuotas quotas{Tolerance};
    std::vector<double> demands; ///< Of each host, as it last reported it.
    std::deque<Report> waiting;
    TimePoint sendsAt;
    TimePoint handlesAt;
};

/// Hosts that share the quota of one workspace. Each sends its usage at regular intervals and handles what it has received every
/// @c handlingInterval only, as a process does that is short of processor time.
class QuotaFleet
{
public:
    QuotaFleet(std::size_t count, std::chrono::milliseconds sendInterval, std::chrono::milliseconds handlingInterval, std::uint64_t seed)
        : m_sendInterval(sendInterval)
        , m_handlingInterval(handlingInterval)
        , m_random(seed)
    {
        routing::Workspace workspace;
        workspace.name = "yard";
        workspace.unit = routing::QuotaUnit::Tokens;
        workspace.perSecond = PerSecond;
        workspace.burst = Burst;
        const std::vector<routing::Workspace> workspaces{workspace};
        m_hosts.resize(count);
        for (Host &host : m_hosts) {
            host.quotas.configure(workspaces, Start - std::chrono::seconds(10));
            host.quotas.setPooled(true, Start);
            host.quotas.setShare("yard", quotaShare(0, 0, count), Start - std::chrono::seconds(10));
            host.demands.resize(count);
            host.sendsAt = Start + std::chrono::milliseconds(m_random() % static_cast<std::uint64_t>(m_sendInterval.count()));
            host.handlesAt = Start + std::chrono::milliseconds(m_random() % static_cast<std::uint64_t>(m_handlingInterval.count()));
        }
    }

    /// Handles and sends the reports that are due.
    void advance(TimePoint now)
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            Host &host = m_hosts[index];
            if (now >= host.handlesAt) {
                host.handlesAt += m_handlingInterval;
                handleReports(host, now);
            }
            if (now >= host.sendsAt) {
                host.sendsAt += m_sendInterval;
                send(index, now);
            }
        }
    }

    /// Sends a request of @p cost to any host; returns whether the host admits it.
    bool request(double cost, TimePoint now)
    {
        return !m_hosts[m_random() % m_hosts.size()].quotas.take("yard", cost, now);
    }

    std::mt19937_64 &random()
    {
        return m_random;
    }

private:
    void handleReports(Host &host, TimePoint now) const
    {
        while (!host.waiting.empty() && host.waiting.front().arrivesAt <= now) {
            const Report &report = host.waiting.front();
            host.quotas.updatePeerUsage("entry-" + std::to_string(report.from), report.used, {report.sentAt, m_sendInterval}, now);
            host.demands[report.from] = report.demand;
            host.waiting.pop_front();
        }
    }

    void send(std::size_t index, TimePoint now)
    {
        Host &host = m_hosts[index];
        host.demands[index] = host.quotas.demand(now).at("yard");
        double total = 0;
        for (const double demand : host.demands) {
            total += demand;
        }
        host.quotas.setShare("yard", quotaShare(host.demands[index], total, m_hosts.size()), now);
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            if (other != index) {
                m_hosts[other].waiting.push_back({now - std::chrono::seconds(index), now + NetworkDelay, index, host.quotas.used(), host.demands[index]});
            }
        }
    }

    const std::chrono::milliseconds m_sendInterval;
    const std::chrono::milliseconds m_handlingInterval;
    std::mt19937_64 m_random;
    std::deque<Host> m_hosts;
};

}

// Guards against hosts short of processor time that handle several reports of a peer at once, take its usage for many times what it is, and refuse
// requests that the quota allows.
TEST_CASE("Hosts that handle usage reports late refuse no more of what a workspace's quota allows than punctual ones")
{
    const std::size_t count = GENERATE(9U, 77U);
    const std::chrono::milliseconds handlingInterval = GENERATE(std::chrono::milliseconds(1), std::chrono::milliseconds(600), std::chrono::milliseconds(2'000));
    // Half of the quota, so that a single bucket refuses nothing, and three times the quota.
    const double load = GENERATE(0.5, 3.0);
    CAPTURE(count, handlingInterval.count(), load);
    QuotaFleet fleet(count, ShortestInterval, handlingInterval, 1);
    std::exponential_distribution<double> cost(1 / MeanCost);
    std::poisson_distribution<int> requestsPerStep(load * PerSecond / MeanCost / 1'000);
    std::deque<std::pair<TimePoint, double>> admitted;
    double asked = 0;
    double refused = 0;
    double inWindow = 0;
    double worstWindow = 0;
    for (int step = 0; step < 20'000; ++step) {
        const TimePoint now = Start + std::chrono::milliseconds(1) * step;
        fleet.advance(now);
        for (int left = requestsPerStep(fleet.random()); left > 0; --left) {
            const double tokens = std::ceil(cost(fleet.random()));
            asked += tokens;
            if (fleet.request(tokens, now)) {
                inWindow += tokens;
                admitted.emplace_back(now, tokens);
            } else {
                refused += tokens;
            }
        }
        while (!admitted.empty() && now - admitted.front().first > QuotaWindow) {
            inWindow -= admitted.front().second;
            admitted.pop_front();
        }
        worstWindow = std::max(worstWindow, inWindow);
    }
    const double quotaInWindow = PerSecond * std::chrono::duration<double>(QuotaWindow).count() + Burst;
    CHECK(worstWindow <= quotaInWindow * (1 + Tolerance.excess) + Tolerance.slack);
    if (load < 1) {
        CHECK(refused <= asked * 0.01);
    }
}

// Guards against many hosts that together admit more than a quota tolerates, since their reports are far apart.
TEST_CASE("Hosts whose reports are as far apart as in a fleet of 86 admit no more than a workspace's quota tolerates")
{
    const auto [count, sendInterval] = GENERATE(table<std::size_t, std::chrono::milliseconds>({{9, ShortestInterval}, {86, std::chrono::milliseconds(688)}}));
    constexpr double PlanCost = 12'000;
    const double load = GENERATE(2.0, 4.0, 8.0);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    CAPTURE(count, load, seed);
    QuotaFleet fleet(count, sendInterval, std::chrono::milliseconds(1), seed);
    std::exponential_distribution<double> cost(1 / PlanCost);
    std::poisson_distribution<int> calm(0.5 * PerSecond / PlanCost / 1'000);
    std::poisson_distribution<int> busy(load * PerSecond / PlanCost / 1'000);
    std::deque<std::pair<TimePoint, double>> admitted;
    double inWindow = 0;
    double most = 0;
    for (int step = 0; step < 20'000; ++step) {
        const TimePoint now = Start + std::chrono::milliseconds(step);
        fleet.advance(now);
        const int requests = (step < 6'000 ? calm : busy)(fleet.random()); // The demand multiplies at once, as of a workspace that sends many times its usual.
        for (int request = 0; request < requests; ++request) {
            const double tokens = cost(fleet.random());
            if (fleet.request(tokens, now)) {
                admitted.emplace_back(now, tokens);
                inWindow += tokens;
            }
        }
        while (!admitted.empty() && now - admitted.front().first > QuotaWindow) {
            inWindow -= admitted.front().second;
            admitted.pop_front();
        }
        most = std::max(most, inWindow);
    }
    const double seconds = std::chrono::duration<double>(QuotaWindow).count();
    CHECK(most <= (PerSecond * seconds + Burst) * (1 + Tolerance.excess) + Tolerance.slack);
}
