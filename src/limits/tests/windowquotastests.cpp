#include "limits/quotaenforcement.h"
#include "limits/windowquotas.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <deque>
#include <memory>
#include <numeric>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::limits;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr std::chrono::milliseconds Window{8'000};
constexpr QuotaTolerance Tolerance{0.1, 140'000, Window};
constexpr std::size_t StatusesAtOnce = 16;
constexpr std::chrono::milliseconds NetworkDelay{2};
constexpr double HotRate = 200'000;
constexpr double SmallRate = 36'000;

double bound(double rate)
{
    return (rate * 8 + rate) * (1 + Tolerance.excess) + Tolerance.slack;
}

/// What a host has reported, on its way to another host.
struct Report {
    TimePoint sentAt;
    std::string from;
    std::map<std::string, std::uint64_t> used;
    std::map<std::string, double> demand;
};

/// One workspace's requests: its quota, what it usually asks, and when it asks for a multiple of that.
struct Load {
    std::string workspace;
    double rate = 0;
    double usual = 0;
    std::vector<std::pair<int, double>> multiples; ///< From each millisecond on.
};

/// What became of one workspace's requests, by steps of 10 ms.
struct Outcome {
    std::vector<double> asked = {};
    std::vector<double> admitted = {};

    static constexpr int StepMs = 10;

    static double sum(const std::vector<double> &values, int fromMs, int untilMs)
    {
        return std::accumulate(values.begin() + fromMs / StepMs, values.begin() + untilMs / StepMs, 0.0);
    }
    /// The largest and the smallest sum of the windows that begin between two times.
    [[nodiscard]] std::pair<double, double> windows(int fromMs, int untilMs) const
    {
        double most = 0;
        double least = 1e18;
        for (int from = fromMs; from + Window.count() <= untilMs; from += StepMs) {
            const double inWindow = sum(admitted, from, from + static_cast<int>(Window.count()));
            most = std::max(most, inWindow);
            least = std::min(least, inWindow);
        }
        return {most, least};
    }
    [[nodiscard]] double refusedPart(int fromMs, int untilMs) const
    {
        return 1 - sum(admitted, fromMs, untilMs) / sum(asked, fromMs, untilMs);
    }
};

/// Hosts whose statuses are spread over an interval as in statuspacing.h, with callers spread unevenly. Every third host can be cut off from the others.
class Fleet
{
public:
    Fleet(std::size_t count, std::chrono::milliseconds interval, std::uint64_t seed, std::vector<Load> loads)
        : m_interval(interval)
        , m_loads(std::move(loads))
        , m_random(seed)
    {
        std::exponential_distribution<double> weight(1);
        std::vector<double> weights;
        for (std::size_t index = 0; index < count; ++index) {
            m_hosts.push_back(std::make_unique<WindowQuotas>(Tolerance, seed * count + index));
            m_hosts.back()->configure(workspaces(), Start);
            for (const Load &load : m_loads) {
                m_hosts.back()->setShare(load.workspace, 0.05, Start);
            }
            m_sendsAt.push_back(Start + std::chrono::milliseconds(m_random() % static_cast<std::uint64_t>(interval.count())));
            m_batches.push_back(0);
            weights.push_back(0.2 + weight(m_random));
        }
        m_pick = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    void cutOff(int fromMs, int untilMs)
    {
        m_cutFrom = Start + std::chrono::milliseconds(fromMs);
        m_cutUntil = Start + std::chrono::milliseconds(untilMs);
    }
    /// Changes a workspace's quota: each host learns of it within 2 s.
    void setRate(int atMs, std::size_t load, double rate)
    {
        m_changeAt = Start + std::chrono::milliseconds(atMs);
        m_changed = workspaces();
        m_changed[load].perSecond = rate;
        m_changed[load].burst = rate;
    }

    std::map<std::string, Outcome> play(int untilMs)
    {
        std::map<std::string, Outcome> outcomes;
        for (int step = 0; step < untilMs; ++step) {
            const TimePoint now = Start + std::chrono::milliseconds(step);
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                if (now == m_changeAt + std::chrono::milliseconds(host * 2'000 / m_hosts.size())) {
                    m_hosts[host]->configure(m_changed, now);
                }
                send(host, now);
            }
            for (; !m_sent.empty() && m_sent.front().second.sentAt + NetworkDelay <= now; m_sent.pop_front()) {
                const auto &[to, report] = m_sent.front();
                m_hosts[to]->updatePeerUsage(report.from, report.used, {report.sentAt, m_interval}, now);
                m_hosts[to]->updatePeerDemand(report.from, report.demand);
            }
            for (const Load &load : m_loads) {
                request(load, step, now, outcomes[load.workspace]);
            }
        }
        return outcomes;
    }

private:
    [[nodiscard]] std::vector<routing::Workspace> workspaces() const
    {
        std::vector<routing::Workspace> all;
        for (const Load &load : m_loads) {
            routing::Workspace &workspace = all.emplace_back();
            workspace.name = load.workspace;
            workspace.perSecond = load.rate;
            workspace.burst = load.rate;
        }
        return all;
    }

    void send(std::size_t from, TimePoint now)
    {
        const std::size_t batches = (m_hosts.size() + StatusesAtOnce - 1) / StatusesAtOnce;
        if (now < m_sendsAt[from]) {
            return;
        }
        m_sendsAt[from] += m_interval / batches;
        const std::size_t batch = m_batches[from]++ % batches;
        const Report report{now, "entry-" + std::to_string(from) + "/1", m_hosts[from]->used(), m_hosts[from]->demand(now)};
        const bool isCut = now >= m_cutFrom && now < m_cutUntil;
        for (std::size_t to = 0; to < m_hosts.size(); ++to) {
            const bool reached = !isCut || (to % 3 == 0) == (from % 3 == 0);
            if (to != from && (to + from) % batches == batch && reached) {
                m_sent.emplace_back(to, report);
            }
        }
    }

    /// Three in ten requests are long, with a mean of 12,000 tokens and up to 60,000.
    double cost()
    {
        const bool isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < 0.3;
        std::lognormal_distribution<double> tokens(std::log(isLong ? 9'600 : 2'100), isLong ? 0.7 : 0.5);
        return std::ceil(std::min(tokens(m_random), 60'000.0));
    }

    void request(const Load &load, int step, TimePoint now, Outcome &outcome)
    {
        constexpr double MeanCost = 0.3 * 12'000 + 0.7 * 2'400;
        double multiple = 1;
        for (const auto &[fromMs, value] : load.multiples) {
            multiple = step >= fromMs ? value : multiple;
        }
        outcome.asked.resize(static_cast<std::size_t>(step / Outcome::StepMs) + 1);
        outcome.admitted.resize(outcome.asked.size());
        std::poisson_distribution<int> requests(multiple * load.usual / MeanCost / 1'000);
        for (int left = requests(m_random); left > 0; --left) {
            const double tokens = cost();
            const bool admitted = !m_hosts[m_pick(m_random)]->take(load.workspace, tokens, now);
            outcome.asked.back() += tokens;
            outcome.admitted.back() += admitted ? tokens : 0;
        }
    }

    const std::chrono::milliseconds m_interval;
    std::vector<Load> m_loads;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_pick;
    std::vector<std::unique_ptr<IQuotaRule>> m_hosts;
    std::vector<TimePoint> m_sendsAt;
    std::vector<std::size_t> m_batches;
    std::deque<std::pair<std::size_t, Report>> m_sent;
    TimePoint m_cutFrom;
    TimePoint m_cutUntil;
    TimePoint m_changeAt;
    std::vector<routing::Workspace> m_changed;
};

/// A fleet with a hot workspace, which asks for @p multiple times its usual from the tenth second on, and a small one within its quota.
Fleet makeFleet(std::size_t count, std::uint64_t seed, double multiple)
{
    // As statusInterval().
    const std::chrono::milliseconds interval{std::max<std::size_t>(400, 8 * (count - 1))};
    return {count, interval, seed, {{"hot", HotRate, HotRate / 1.8, {{10'000, multiple}}}, {"small", SmallRate, SmallRate / 1.8, {}}}};
}

/// Checks that the hot workspace of @p fleet is granted its quota in each window, and no more than is tolerated, and the small one is hardly refused.
void checkUse(Fleet fleet)
{
    const std::map<std::string, Outcome> outcomes = fleet.play(30'000);
    CHECK(outcomes.at("hot").windows(0, 30'000).first <= bound(HotRate));
    CHECK(outcomes.at("hot").windows(12'000, 30'000).second >= 0.95 * 9 * HotRate);
    CHECK(outcomes.at("small").refusedPart(0, 30'000) <= 0.01);
}

}

// Guards against quotas of which a part is neither used nor granted to anybody while callers ask for several times as much.
TEST_CASE("A workspace that asks for several times its quota is granted it in each window, and no more than is tolerated")
{
    const auto [hosts, multiple] = GENERATE(table<std::size_t, double>({{9, 6.0}, {89, 3.6}, {89, 6.0}}));
    const std::uint64_t seed = GENERATE(1U, 2U);
    CAPTURE(hosts, multiple, seed);
    checkUse(makeFleet(hosts, seed, multiple));
}

// As above, with a demand of twice the quota that is at times lower than what leaves the window.
TEST_CASE("A workspace that asks nine hosts for twice its quota is granted it in each window")
{
    const std::uint64_t seed = GENERATE(1U, 2U);
    CAPTURE(seed);
    checkUse(makeFleet(9, seed, 3.6));
}

// Guards against hosts that are cut off from each other and together admit more than a quota tolerates.
TEST_CASE("Hosts of which a third is cut off admit no more than is tolerated of a workspace that asks for six times its usual")
{
    const auto [from, until] = GENERATE(table<int, int>({{8'000, 30'000}, {10'000, 30'000}, {11'000, 22'000}, {12'000, 18'000}}));
    const std::uint64_t seed = GENERATE(1U, 2U, 4U);
    CAPTURE(from, until, seed);
    Fleet fleet = makeFleet(89, seed, 6);
    fleet.cutOff(from, until);
    const std::map<std::string, Outcome> outcomes = fleet.play(30'000);
    CHECK(outcomes.at("hot").windows(0, 30'000).first <= bound(HotRate));
    CHECK(outcomes.at("small").windows(0, 30'000).first <= bound(SmallRate));
}

// Both sides of a partition keep a part free for what they do not know.
TEST_CASE("Hosts of which a third is cut off grant together the quota of a workspace that asks for six times its usual")
{
    const std::uint64_t seed = GENERATE(1U, 2U);
    CAPTURE(seed);
    Fleet fleet = makeFleet(89, seed, 6);
    fleet.cutOff(8'000, 30'000);
    checkUse(std::move(fleet));
}

// Guards against a lowered quota that counts what was admitted before as used, and refuses what it allows until that has left the window.
TEST_CASE("A quota that is lowered below the demand is granted at once, and holds from the next window on")
{
    constexpr double Lowered = 50'000;
    Fleet fleet = makeFleet(89, 1, 1);
    fleet.setRate(12'000, 0, Lowered);
    const std::map<std::string, Outcome> outcomes = fleet.play(32'000);
    CHECK(outcomes.at("hot").windows(14'000, 32'000).first <= bound(Lowered));
    CHECK(outcomes.at("hot").windows(16'000, 32'000).second >= 0.95 * 9 * Lowered);
    CHECK(outcomes.at("small").refusedPart(0, 32'000) <= 0.01);
}

// Reports of so many hosts are far apart: a sudden demand passes all of them before they hear of it.
TEST_CASE("Hosts whose reports are as far apart as in a fleet of 295 admit no more than windows of a quota tolerate")
{
    CHECK(makeFleet(295, 1, 3.6).play(24'000).at("hot").windows(0, 24'000).first <= bound(HotRate));
}

// As above, when the demand is three times the quota at once.
TEST_CASE("Hosts of a fleet of 295 admit no more than windows of a quota tolerate while a workspace asks for six times its usual")
{
    CHECK(makeFleet(295, 1, 6).play(24'000).at("hot").windows(0, 24'000).first <= bound(HotRate));
}
