#pragma once

#include "balancing/upstreambalancer.h"
#include "balancing/upstreamspeeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace rosemaryshift::balancing::tests {

constexpr std::uint32_t Slots = 8;
constexpr double TokensPerEvent = 7;
constexpr double PromptTokensPerSecond = 125'000;
constexpr double StepSeconds = 0.0033;
constexpr double PlanFraction = 0.13;
constexpr double PlanGoalSeconds = 0.8;
constexpr double QuestionGoalSeconds = 0.6;
constexpr double SimulatedSeconds = 12;
constexpr double WarmUpSeconds = 4;
constexpr double CacheSeconds = 20;

inline TimePoint at(double seconds)
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(100 + seconds)));
}

/// Time between two statuses of a host with this number of peers, in seconds; as gossip::statusInterval().
inline double reportInterval(std::size_t hosts)
{
    return std::max(0.4, 0.008 * static_cast<double>(hosts - 1));
}

struct SimulatedRequest {
    std::size_t host = 0;
    std::size_t upstream = 0;
    std::uint64_t attempt = 0;
    std::uint64_t uncached = 0;
    double arrivedAt = 0;
    double firstEventAt = 0;  ///< 0 before it.
    double streamSeconds = 0; ///< From the first event to the end.
    bool isPlan = false;
};

/// An engine that runs as many requests as it has slots, and reads their prompts one after the other.
struct SimulatedUpstream {
    double slowness = 1;
    std::uint32_t running = 0;
    double promptsReadAt = 0;
    std::deque<std::size_t> waiting;
    std::map<std::uint64_t, double> cachedAt;
};

/// How many of the requests got their first event within their latency goal.
struct Served {
    std::size_t plans = 0;
    std::size_t plansInTime = 0;
    std::size_t questions = 0;
    std::size_t questionsInTime = 0;

    [[nodiscard]] double inTime() const
    {
        return static_cast<double>(plansInTime + questionsInTime) / static_cast<double>(plans + questions);
    }
};

/// Hosts that send long plans and short questions to the same engines, each choosing for itself by what the others last reported. One engine of three is
/// half as fast as the others.
class SimulatedFleet
{
public:
    /// @p comparesAll: the hosts are not told how far apart the reports are, and compare all upstreams.
    SimulatedFleet(std::size_t hosts, std::size_t upstreams, bool comparesAll)
        : m_interval(reportInterval(hosts))
        , m_upstreams(upstreams)
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            m_hosts.push_back(std::make_unique<UpstreamBalancer>(host));
            if (!comparesAll) {
                m_hosts.back()->setReportInterval(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_interval)));
            }
            schedule(m_interval * static_cast<double>(host) / static_cast<double>(hosts), Event::Report, host);
        }
        for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
            m_names.push_back("i-" + std::to_string(upstream));
            m_upstreams[upstream].slowness = upstream % 3 == 0 ? 2 : 1;
        }
        for (const std::string &name : m_names) {
            m_candidates.push_back({name, "zone", Slots, 0, false});
        }
    }

    /// Has the hosts measure the upstreams together.
    void setPooledSpeeds(bool pooled)
    {
        m_pooledSpeeds = pooled;
    }

    /// Makes the slowness of an upstream depend on the time.
    void setSlowness(std::function<double(std::size_t upstream, double time)> slowness)
    {
        m_slowness = std::move(slowness);
    }

    void setSeconds(double seconds)
    {
        m_seconds = seconds;
    }

    [[nodiscard]] const std::deque<SimulatedRequest> &requests() const
    {
        return m_requests;
    }

    Served play(double requestsPerSecond)
    {
        schedule(0, Event::Arrival, 0);
        while (!m_events.empty() && m_events.top().time < m_seconds) {
            const Scheduled event = m_events.top();
            m_events.pop();
            handle(event, requestsPerSecond);
        }
        return m_served;
    }

private:
    enum class Event : std::uint8_t { Arrival, Report, FirstEvent, End };
    struct Scheduled {
        double time = 0;
        Event event = Event::Arrival;
        std::size_t index = 0;

        bool operator>(const Scheduled &other) const
        {
            return time > other.time;
        }
    };

    void schedule(double time, Event event, std::size_t index)
    {
        m_events.push({time, event, index});
    }

    void handle(const Scheduled &scheduled, double requestsPerSecond)
    {
        switch (scheduled.event) {
        case Event::Arrival:
            schedule(scheduled.time + std::exponential_distribution<double>(requestsPerSecond)(m_random), Event::Arrival, 0);
            arrive(scheduled.time);
            return;
        case Event::Report:
            schedule(scheduled.time + m_interval, Event::Report, scheduled.index);
            report(scheduled.index, scheduled.time);
            return;
        case Event::FirstEvent:
            noteFirstEvent(scheduled.index, scheduled.time);
            return;
        case Event::End:
            end(scheduled.index, scheduled.time);
            return;
        }
    }

    void arrive(double now)
    {
        SimulatedRequest request;
        request.host = m_random() % m_hosts.size();
        request.isPlan = std::bernoulli_distribution(PlanFraction)(m_random);
        request.arrivedAt = now;
        const std::vector<ports::PromptPart> parts = promptParts(request.isPlan);
        RequestProfile profile{"engines", "zone", parts, 0, m_pooledSpeeds};
        for (const ports::PromptPart &part : parts) {
            profile.promptTokens += part.tokens;
        }
        UpstreamBalancer &balancer = *m_hosts[request.host];
        const std::optional<Choice> choice = balancer.choose(profile, m_candidates, at(now));
        REQUIRE(choice);
        request.upstream = std::stoul(choice->instance.substr(2));
        request.attempt = balancer.begin(profile, *choice, at(now));
        SimulatedUpstream &upstream = m_upstreams[request.upstream];
        request.uncached = profile.promptTokens;
        for (const ports::PromptPart &part : parts) {
            const auto cached = upstream.cachedAt.find(part.id);
            if (cached == upstream.cachedAt.end() || now - cached->second > CacheSeconds) {
                break;
            }
            request.uncached -= part.tokens;
        }
        for (const ports::PromptPart &part : parts) {
            upstream.cachedAt[part.id] = now;
        }
        m_requests.push_back(request);
        if (upstream.running < Slots) {
            start(m_requests.size() - 1, now);
        } else {
            upstream.waiting.push_back(m_requests.size() - 1);
        }
    }

    std::vector<ports::PromptPart> promptParts(bool isPlan)
    {
        const std::uint64_t shared = isPlan ? m_random() % 200 : 1'000 + m_random() % 1'300;
        const double size = std::min(4.0, std::lognormal_distribution<double>(-0.2, 0.6)(m_random));
        return {{isPlan ? 10 + shared % 20 : 50 + shared % 25, isPlan ? 512U : 341U},
                {1'000'000 + shared, isPlan ? 4'870U : 227U},
                {m_random(), static_cast<std::uint32_t>((isPlan ? 6'610 : 1'800) * size)}};
    }

    void start(std::size_t index, double now)
    {
        SimulatedUpstream &upstream = m_upstreams[m_requests[index].upstream];
        ++upstream.running;
        const double reading = static_cast<double>(m_requests[index].uncached) / PromptTokensPerSecond * slowness(m_requests[index].upstream, now);
        upstream.promptsReadAt = std::max(now, upstream.promptsReadAt) + reading;
        schedule(upstream.promptsReadAt + StepSeconds * slowness(m_requests[index].upstream, now), Event::FirstEvent, index);
    }

    void noteFirstEvent(std::size_t index, double now)
    {
        SimulatedRequest &request = m_requests[index];
        const SimulatedUpstream &upstream = m_upstreams[request.upstream];
        request.firstEventAt = now;
        m_hosts[request.host]->recordFirstEvent(request.attempt, at(now));
        const double steps = request.isPlan ? 384 : 32;
        request.streamSeconds = steps * StepSeconds * slowness(request.upstream, now) * (1 + 0.02 * upstream.running);
        schedule(now + request.streamSeconds, Event::End, index);
        if (request.arrivedAt < WarmUpSeconds) {
            return;
        }
        const bool inTime = now - request.arrivedAt <= (request.isPlan ? PlanGoalSeconds : QuestionGoalSeconds);
        ++(request.isPlan ? m_served.plans : m_served.questions);
        (request.isPlan ? m_served.plansInTime : m_served.questionsInTime) += inTime ? 1 : 0;
    }

    void end(std::size_t index, double now)
    {
        const SimulatedRequest &request = m_requests[index];
        SimulatedUpstream &upstream = m_upstreams[request.upstream];
        const std::uint32_t gaps = static_cast<std::uint32_t>((request.isPlan ? 384 : 32) / TokensPerEvent);
        m_hosts[request.host]->recordGaps(
            request.attempt, gaps, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(request.streamSeconds)), at(now));
        m_hosts[request.host]->end(request.attempt, AttemptEnd::Succeeded, at(now));
        --upstream.running;
        if (!upstream.waiting.empty()) {
            const std::size_t next = upstream.waiting.front();
            upstream.waiting.pop_front();
            start(next, now);
        }
    }

    void report(std::size_t host, double now)
    {
        const std::map<std::string, Outstanding> outstanding = m_hosts[host]->outstanding();
        const std::string samples = m_hosts[host]->speeds().content(at(now));
        const Duration lifetime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(5 * m_interval));
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            if (other != host) {
                m_hosts[other]->setPeerOutstanding("entry-" + std::to_string(host), outstanding, at(now), lifetime);
                REQUIRE((samples.empty() || m_hosts[other]->speeds().apply("entry-" + std::to_string(host), samples, at(now))));
            }
        }
    }

    [[nodiscard]] double slowness(std::size_t upstream, double now) const
    {
        return m_slowness ? m_slowness(upstream, now) : m_upstreams[upstream].slowness;
    }

    const double m_interval;
    bool m_pooledSpeeds = false;
    double m_seconds = SimulatedSeconds;
    std::function<double(std::size_t, double)> m_slowness;
    std::mt19937_64 m_random{1};
    std::vector<std::unique_ptr<UpstreamBalancer>> m_hosts;
    std::vector<SimulatedUpstream> m_upstreams;
    std::vector<std::string> m_names;
    std::vector<Candidate> m_candidates;
    std::deque<SimulatedRequest> m_requests;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> m_events;
    Served m_served;
};

}
