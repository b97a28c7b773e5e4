#include "limits/upstreamlimits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::limits;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

TimePoint at(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

/// What the platform's pages allow an upstream with a limit of @p perSecond to get in a window of this length.
constexpr std::chrono::seconds Window{4};
double allowed(double perSecond)
{
    return 1.5 * perSecond * static_cast<double>(Window.count()) + 5;
}

/// Hosts that each always have a request for one upstream, and exchange reports as gateways do. The upstream states a limit in each answer.
class Simulation
{
public:
    Simulation(std::size_t hosts, double perSecond)
        : m_perSecond(perSecond)
    {
        for (std::size_t index = 0; index < hosts; ++index) {
            m_hosts.push_back(std::make_unique<Host>());
            m_hosts.back()->name = "10.0.0." + std::to_string(index);
        }
        for (const std::unique_ptr<Host> &host : m_hosts) {
            learnHosts(*host);
        }
    }

    /// Runs for @p duration in steps of 20 ms; each running host sends one request in each fifth step, if it may.
    void run(std::chrono::milliseconds duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += Step) {
            ++m_steps;
            for (std::size_t index = 0; index < m_hosts.size(); ++index) {
                Host &host = *m_hosts[index];
                if (!host.running) {
                    continue;
                }
                receive(host);
                if (m_steps % 5 == index % 5 && host.limits.maySend("x", m_now)) {
                    host.limits.noteSent("x", m_now);
                    m_arrivals.push_back(m_now);
                    host.answers.push_back(m_now);
                }
                if (m_steps % 20 == index % 20) {
                    tellOthers(index);
                }
            }
        }
    }

    /// Stops the host with this @p index for a time; it keeps what it knows.
    void setRunning(std::size_t index, bool running)
    {
        m_hosts[index]->running = running;
    }

    /// Replaces the host with this @p index by a new start, which knows only one other host and no limit.
    void restart(std::size_t index)
    {
        const std::string name = m_hosts[index]->name;
        m_hosts[index] = std::make_unique<Host>();
        m_hosts[index]->name = name;
        m_hosts[index]->limits.setHosts(name, {m_hosts[(index + 1) % m_hosts.size()]->name}, m_now);
    }

    /// Adds a host that the others learn of with its first report.
    void add()
    {
        m_hosts.push_back(std::make_unique<Host>());
        m_hosts.back()->name = "10.0.1." + std::to_string(m_hosts.size());
        restart(m_hosts.size() - 1);
    }

    /// Cuts the hosts below @p index from the others; they still know each other, as silent hosts.
    void cutBelow(std::size_t index)
    {
        m_cut = index;
    }

    /// The most requests that arrived in a window since @p from.
    [[nodiscard]] std::size_t mostInWindow(TimePoint from) const
    {
        std::size_t most = 0;
        std::deque<TimePoint> window;
        for (const TimePoint arrival : m_arrivals) {
            if (arrival < from) {
                continue;
            }
            window.push_back(arrival);
            while (arrival - window.front() >= Window) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    [[nodiscard]] std::size_t arrivalsSince(TimePoint from) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_arrivals, [from](TimePoint arrival) { return arrival >= from; }));
    }

    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }

private:
    static constexpr std::chrono::milliseconds Step{20};
    /// Time from a request to its answer, and from a report's sending to its receipt.
    static constexpr std::chrono::milliseconds Delay{40};

    struct Host {
        std::string name;
        UpstreamLimits limits{[](const std::string &, std::optional<double>) {}};
        std::deque<TimePoint> answers; ///< When the requests were sent whose answers are still to come.
        std::deque<std::pair<TimePoint, std::vector<LimitReport>>> reports;
        std::size_t knownHosts = 0; ///< Including itself.
        bool announced = false;     ///< The others have been sent a report, and so know of this host.
        bool running = true;
    };

    void learnHosts(Host &host)
    {
        std::vector<std::string> others;
        for (const std::unique_ptr<Host> &other : m_hosts) {
            if (other->name != host.name) {
                others.push_back(other->name);
            }
        }
        host.limits.setHosts(host.name, std::move(others), m_now);
        host.knownHosts = m_hosts.size();
    }

    void receive(Host &host)
    {
        while (!host.answers.empty() && host.answers.front() + Delay <= m_now) {
            host.limits.noteAnswer("x", m_perSecond, host.answers.front(), m_now);
            host.answers.pop_front();
        }
        while (!host.reports.empty() && host.reports.front().first + Delay <= m_now) {
            host.limits.apply(host.reports.front().second, m_now);
            host.reports.pop_front();
            if (host.knownHosts != m_hosts.size()) {
                learnHosts(host);
            }
        }
    }

    void tellOthers(std::size_t index)
    {
        const std::vector<LimitReport> reports = m_hosts[index]->limits.reports(m_now);
        if (reports.empty() && m_hosts[index]->announced) {
            return;
        }
        m_hosts[index]->announced = true;
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            const bool lost = m_random() % 10 == 0;
            if (other != index && (other < m_cut) == (index < m_cut) && !lost) {
                m_hosts[other]->reports.emplace_back(m_now, reports);
            }
        }
    }

    const double m_perSecond;
    TimePoint m_now = Start;
    std::size_t m_steps = 0;
    std::size_t m_cut = 0;
    std::mt19937 m_random{7};
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<TimePoint> m_arrivals;
};

/// Time after which a limit has to be kept by all hosts.
constexpr std::chrono::seconds ContactTime{3};

}

TEST_CASE("An upstream's limit on requests holds for as long as its answers state it")
{
    int changes = 0;
    UpstreamLimits limits([&changes](const std::string &, std::optional<double>) { ++changes; });
    limits.noteAnswer("x", 2.5, at(0), at(10));
    REQUIRE(limits.perSecond("x") == 2.5);
    REQUIRE(!limits.perSecond("y"));

    SECTION("the last statement replaces the one before")
    {
        limits.noteAnswer("x", 1.0, at(20), at(30));
        CHECK(limits.perSecond("x") == 1.0);
        CHECK(changes == 2);
    }
    SECTION("repeating it is no change")
    {
        limits.noteAnswer("x", 2.5, at(20), at(30));
        CHECK(changes == 1);
    }
    SECTION("an answer without it lifts the limit")
    {
        limits.noteAnswer("x", std::nullopt, at(20), at(30));
        CHECK(!limits.perSecond("x"));
        CHECK(changes == 2);
    }
    SECTION("an answer without it to a request that was sent before the limit was stated does not lift the limit")
    {
        limits.noteAnswer("x", std::nullopt, at(5), at(30));
        CHECK(limits.perSecond("x") == 2.5);
    }
}

TEST_CASE("An upstream's limit that one host hears of holds at all hosts")
{
    const UpstreamLimits::Listener ignore = [](const std::string &, std::optional<double>) {};
    UpstreamLimits first(ignore);
    UpstreamLimits second(ignore);
    first.setHosts("a", {"b"}, Start);
    second.setHosts("b", {"a"}, Start);
    first.noteAnswer("x", 2.0, at(0), at(10));
    second.apply(first.reports(at(20)), at(30));
    REQUIRE(second.perSecond("x") == 2.0);
    CHECK(second.reports(at(40)).empty());

    SECTION("an older report does not replace what a later answer says")
    {
        const std::vector<LimitReport> old = first.reports(at(40));
        second.noteAnswer("x", 1.0, at(30), at(50));
        second.apply(old, at(60));
        CHECK(second.perSecond("x") == 1.0);
    }
    SECTION("a host that hears that the limit was lifted lifts it, and does not take it up again from an older report")
    {
        const std::vector<LimitReport> old = first.reports(at(40));
        first.noteAnswer("x", std::nullopt, at(50), at(60));
        second.apply(first.reports(at(70)), at(80));
        CHECK(!second.perSecond("x"));
        second.apply(old, at(40));
        CHECK(!second.perSecond("x"));
    }
    SECTION("a limit that no answer confirms for long is dropped")
    {
        second.expire(at(599'000));
        CHECK(second.limitedUpstreams() == 1);
        second.expire(at(601'000));
        CHECK(second.limitedUpstreams() == 0);
    }
}

// Guards against the sum over all hosts exceeding the limit while each host keeps to its own share.
TEST_CASE("All hosts together keep to an upstream's limit, and use most of it")
{
    const std::size_t hosts = GENERATE(1U, 2U, 9U, 77U, 420U);
    const double perSecond = GENERATE(0.0, 1.0, 3.2, 25.0);
    CAPTURE(hosts, perSecond);
    Simulation simulation(hosts, perSecond);
    simulation.run(ContactTime);
    const TimePoint kept = simulation.now();

    SECTION("while nothing fails")
    {
        constexpr std::chrono::seconds Duration{20};
        simulation.run(Duration);
        CHECK(simulation.mostInWindow(kept) <= allowed(perSecond));
        // A single host sends at most ten requests per second.
        const double possible = std::min(perSecond, 10 * static_cast<double>(hosts)) * static_cast<double>(Duration.count());
        CHECK(simulation.arrivalsSince(kept) >= 0.75 * possible);
    }
    SECTION("while hosts start that know neither the limit nor most of the others")
    {
        for (std::size_t index = 0; index < std::min<std::size_t>(hosts, 3); ++index) {
            simulation.run(std::chrono::seconds(2));
            simulation.restart(index);
        }
        simulation.run(std::chrono::seconds(8));
        CHECK(simulation.mostInWindow(kept) <= allowed(perSecond));
    }
    SECTION("while hosts are added")
    {
        for (int count = 0; count < 3; ++count) {
            simulation.add();
            simulation.run(std::chrono::seconds(2));
        }
        simulation.run(std::chrono::seconds(6));
        CHECK(simulation.mostInWindow(kept) <= allowed(perSecond));
    }
    SECTION("while hosts are frozen and go on")
    {
        const std::size_t frozen = hosts / 3;
        for (std::size_t index = 0; index < frozen; ++index) {
            simulation.setRunning(index, false);
        }
        simulation.run(std::chrono::seconds(5));
        for (std::size_t index = 0; index < frozen; ++index) {
            simulation.setRunning(index, true);
        }
        simulation.run(std::chrono::seconds(8));
        CHECK(simulation.mostInWindow(kept) <= allowed(perSecond));
    }
    SECTION("while the hosts are cut into two parts")
    {
        simulation.cutBelow(hosts / 3);
        simulation.run(std::chrono::seconds(10));
        simulation.cutBelow(0);
        simulation.run(std::chrono::seconds(6));
        CHECK(simulation.mostInWindow(kept) <= allowed(perSecond));
    }
}
