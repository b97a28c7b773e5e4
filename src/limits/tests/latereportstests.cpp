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
constexpr std::chrono::milliseconds LargeFleetInterval{2'352}; ///< As statusInterval() for 294 peers.
constexpr std::chrono::milliseconds NetworkDelay{1};
constexpr std::chrono::seconds QuotaWindow{8};
constexpr double PerSecond = 200'000;
constexpr double Burst = 200'000;
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
    explicit Host(std::uint64_t seed)
        : quotas(Tolerance, seed)
    {
    }

    WorkspaceQuotas quotas;
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
        for (std::size_t index = 0; index < count; ++index) {
            Host &host = m_hosts.emplace_back(seed * count + index);
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
        host.quotas.setTotalDemand("yard", total);
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

/// What a fleet did with the requests of one workspace, in tokens.
struct Outcome {
    double asked = 0;
    double refused = 0;
    double worstWindow = 0; ///< Most that was admitted within QuotaWindow.
};

/// The requests of one workspace.
struct Demand {
    double meanCost = 0;
    std::vector<std::pair<double, int>> loads; ///< Multiples of the quota, each with the millisecond until which it lasts.
};

Outcome play(QuotaFleet &fleet, const Demand &demand)
{
    std::exponential_distribution<double> cost(1 / demand.meanCost);
    std::deque<std::pair<TimePoint, double>> admitted;
    Outcome outcome;
    double inWindow = 0;
    int step = 0;
    for (const auto &[load, until] : demand.loads) {
        std::poisson_distribution<int> requestsPerStep(load * PerSecond / demand.meanCost / 1'000);
        for (; step < until; ++step) {
            const TimePoint now = Start + std::chrono::milliseconds(step);
            fleet.advance(now);
            for (int left = requestsPerStep(fleet.random()); left > 0; --left) {
                const double tokens = std::ceil(cost(fleet.random()));
                outcome.asked += tokens;
                if (fleet.request(tokens, now)) {
                    inWindow += tokens;
                    admitted.emplace_back(now, tokens);
                } else {
                    outcome.refused += tokens;
                }
            }
            while (!admitted.empty() && now - admitted.front().first > QuotaWindow) {
                inWindow -= admitted.front().second;
                admitted.pop_front();
            }
            outcome.worstWindow = std::max(outcome.worstWindow, inWindow);
        }
    }
    return outcome;
}

double toleratedInWindow()
{
    const double seconds = std::chrono::duration<double>(QuotaWindow).count();
    return (PerSecond * seconds + Burst) * (1 + Tolerance.excess) + Tolerance.slack;
}

/// The demand multiplies at once, as of a workspace that sends many times its usual.
Demand suddenDemand(double load)
{
    return {12'000, {{0.5, 6'000}, {load, 20'000}}};
}

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
    const Outcome outcome = play(fleet, {3'000, {{load, 20'000}}});
    CHECK(outcome.worstWindow <= toleratedInWindow());
    if (load < 1) {
        CHECK(outcome.refused <= outcome.asked * 0.01);
    }
}

// Guards against hosts that rely on their own small shares because the reports of many others are far apart, and refuse what the quota allows.
TEST_CASE("Hosts whose reports are as far apart as in a fleet of 295 refuse no more than a few of the requests that a workspace's quota allows")
{
    const std::chrono::milliseconds handlingInterval = GENERATE(std::chrono::milliseconds(1), std::chrono::milliseconds(600), std::chrono::milliseconds(2'000));
    CAPTURE(handlingInterval.count());
    QuotaFleet fleet(295, LargeFleetInterval, handlingInterval, 1);
    const Outcome outcome = play(fleet, {3'000, {{0.5, 20'000}}});
    CHECK(outcome.worstWindow <= toleratedInWindow());
    CHECK(outcome.refused <= outcome.asked * 0.01);
}

// Guards against many hosts that together admit more than a quota tolerates, since their reports are far apart.
TEST_CASE("Hosts whose reports are as far apart as in a fleet of 86 admit no more than a workspace's quota tolerates")
{
    const auto [count, sendInterval] = GENERATE(table<std::size_t, std::chrono::milliseconds>({{9, ShortestInterval}, {86, std::chrono::milliseconds(688)}}));
    const double load = GENERATE(2.0, 4.0, 8.0);
    const std::uint64_t seed = GENERATE(range(1U, 31U));
    CAPTURE(count, load, seed);
    QuotaFleet fleet(count, sendInterval, std::chrono::milliseconds(1), seed);
    CHECK(play(fleet, suddenDemand(load)).worstWindow <= toleratedInWindow());
}

// As above, for intervals at which a sudden demand passes many hosts before any of them has heard of it.
TEST_CASE("Hosts whose reports are as far apart as in a fleet of 295 admit no more than a workspace's quota tolerates")
{
    const double load = GENERATE(2.0, 4.0, 8.0);
    const std::uint64_t seed = GENERATE(range(1U, 6U));
    CAPTURE(load, seed);
    QuotaFleet fleet(295, LargeFleetInterval, std::chrono::milliseconds(1), seed);
    CHECK(play(fleet, suddenDemand(load)).worstWindow <= toleratedInWindow());
}
