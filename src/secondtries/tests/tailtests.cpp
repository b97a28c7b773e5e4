#include "secondtries/secondtrypolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::secondtries;

namespace {

constexpr std::size_t HostCount = 9;
constexpr std::size_t UpstreamCount = 20;
constexpr std::size_t SlotCount = 4;
constexpr std::chrono::seconds Length{60};
constexpr RequestClass Lookup{"lookup", false, 0};

/// What callers saw, and what it cost.
struct Played {
    std::vector<Duration> times;
    std::size_t requests = 0;
    std::size_t secondTries = 0;
    double work = 0;     ///< Time for which tries that were answered took up slots, in seconds.
    double lostWork = 0; ///< The same of tries that were cancelled.

    [[nodiscard]] double totalWork() const
    {
        return work + lostWork;
    }

    [[nodiscard]] double milliseconds(double quantile) const
    {
        return std::chrono::duration<double, std::milli>(times.at(static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1)))).count();
    }
};

/// Hosts that send requests to upstreams of which one in ten is slow at a time, in virtual time.
class Load
{
public:
    Load(SecondTrySettings settings, std::size_t requestsPerSecond)
        : m_interval(std::chrono::microseconds(1'000'000 / requestsPerSecond))
        , m_hosts(HostCount, SecondTryPolicy(settings))
    {
    }

    Played play()
    {
        at(m_now, [this] { arrive(); });
        at(m_now, [this] { pool(); });
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        std::ranges::sort(m_played.times);
        return m_played;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };
    struct Request {
        std::size_t host = 0;
        TimePoint sent;
        std::array<std::optional<std::size_t>, 2> upstreams;
        std::array<std::optional<TimePoint>, 2> began;
        bool answered = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Upstream {
        std::size_t running = 0;
        std::deque<std::pair<RequestPtr, std::size_t>> waiting;
    };

    void at(TimePoint time, std::function<void()> run)
    {
        m_events.push({time, m_number++, std::move(run)});
    }

    void pool()
    {
        for (std::size_t i = 0; i < HostCount; ++i) {
            for (std::size_t j = 0; j < HostCount; ++j) {
                REQUIRE((i == j || m_hosts[i].times().apply(std::to_string(j), m_hosts[j].times().content(m_now), m_now)));
            }
        }
        if (m_now < TimePoint(Length)) {
            at(m_now + std::chrono::milliseconds(700), [this] { pool(); });
        }
    }

    void arrive()
    {
        const RequestPtr request = std::make_shared<Request>();
        request->host = m_random() % HostCount;
        request->sent = m_now;
        ++m_played.requests;
        SecondTryPolicy &host = m_hosts[request->host];
        host.noteRequest();
        send(request, 0, choose({}));
        if (const std::optional<Duration> delay = host.delay(Lookup, m_now)) {
            at(m_now + *delay, [this, request] { considerSecond(request); });
        }
        if (m_now < TimePoint(Length)) {
            at(m_now + m_interval, [this] { arrive(); });
        }
    }

    std::size_t choose(std::optional<std::size_t> tried)
    {
        const auto load
            = [this, tried](std::size_t upstream) { return upstream == tried ? 1'000 : m_upstreams[upstream].running + m_upstreams[upstream].waiting.size(); };
        const std::size_t a = m_random() % UpstreamCount;
        const std::size_t b = (a + 1 + m_random() % (UpstreamCount - 1)) % UpstreamCount;
        return load(a) <= load(b) ? a : b;
    }

    void considerSecond(const RequestPtr &request)
    {
        if (request->answered) {
            return;
        }
        const std::size_t upstream = choose(request->upstreams[0]);
        const double rounds = 1 + static_cast<double>(m_upstreams[upstream].waiting.size()) / SlotCount;
        const Duration expected(static_cast<std::int64_t>(30'000 * rounds));
        SecondTryPolicy &host = m_hosts[request->host];
        if (!host.refusal(Lookup, {true, true, true, m_now - request->sent, std::chrono::seconds(2), expected}, m_now)) {
            host.noteSecondTry();
            ++m_played.secondTries;
            send(request, 1, upstream);
        } else {
            at(m_now + std::max<Duration>(m_now - request->sent, std::chrono::milliseconds(10)), [this, request] { considerSecond(request); });
        }
    }

    void send(const RequestPtr &request, std::size_t number, std::size_t upstream)
    {
        request->upstreams.at(number) = upstream;
        m_upstreams[upstream].waiting.emplace_back(request, number);
        fill(upstream);
    }

    void fill(std::size_t index)
    {
        Upstream &upstream = m_upstreams[index];
        while (upstream.running < SlotCount && !upstream.waiting.empty()) {
            const RequestPtr request = upstream.waiting.front().first;
            const std::size_t number = upstream.waiting.front().second;
            upstream.waiting.pop_front();
            ++upstream.running;
            request->began.at(number) = m_now;
            const bool slow = (static_cast<std::size_t>(m_now.time_since_epoch() / std::chrono::milliseconds(600)) + index) % 10 == 0;
            const double took = m_serviceTime(m_random) * (slow ? 6 : 1);
            at(m_now + Duration(static_cast<std::int64_t>(took)), [this, request, number] { answer(request, number); });
        }
    }

    void answer(const RequestPtr &request, std::size_t number)
    {
        if (request->answered) {
            return;
        }
        request->answered = true;
        m_played.times.push_back(m_now - request->sent);
        SecondTryPolicy &host = m_hosts[request->host];
        if (number == 0) {
            host.noteAnswer(Lookup, m_now - request->sent, m_now);
        } else {
            host.noteLeft(Lookup, m_now - request->sent, m_now);
        }
        leave(request, number, m_played.work);
        leave(request, 1 - number, m_played.lostWork);
    }

    void leave(const RequestPtr &request, std::size_t number, double &work)
    {
        if (!request->upstreams.at(number)) {
            return;
        }
        Upstream &upstream = m_upstreams[*request->upstreams.at(number)];
        if (request->began.at(number)) {
            work += std::chrono::duration<double>(m_now - *request->began.at(number)).count();
            --upstream.running;
            fill(*request->upstreams.at(number));
            return;
        }
        std::erase(upstream.waiting, std::pair(request, number));
    }

    const Duration m_interval;
    std::vector<SecondTryPolicy> m_hosts;
    std::array<Upstream, UpstreamCount> m_upstreams;
    std::priority_queue<Event> m_events;
    std::uint64_t m_number = 0;
    TimePoint m_now{};
    std::mt19937_64 m_random{7};
    std::lognormal_distribution<double> m_serviceTime{std::log(28'000.0), 0.3}; ///< In microseconds.
    Played m_played;
};

void report(const std::string &which, const Played &without, const Played &with)
{
    for (const Played &played : {without, with}) {
        WARN(which << ", second tries: " << played.secondTries << " of " << played.requests << " requests: p50 " << played.milliseconds(0.5) << " ms, p99 "
                   << played.milliseconds(0.99) << " ms, p99.9 " << played.milliseconds(0.999) << " ms, work of the upstreams against none: "
                   << played.totalWork() / without.totalWork() << ", part of it that was cancelled: " << played.lostWork / played.totalWork());
    }
}

}

TEST_CASE("Second tries cut the slowest answers of upstreams that are slow by turns, within the work that operators allow")
{
    const SecondTrySettings settings{0.1, 0.9};
    const Played without = Load({}, 700).play();
    const Played with = Load(settings, 700).play();
    report("upstreams with room", without, with);
    CHECK(without.secondTries == 0);
    CHECK(with.times.size() == with.requests);
    CHECK(with.milliseconds(0.5) <= 1.05 * without.milliseconds(0.5));
    CHECK(with.milliseconds(0.99) <= 0.7 * without.milliseconds(0.99));
    CHECK(with.milliseconds(0.999) < without.milliseconds(0.999));
    CHECK(static_cast<double>(with.secondTries) <= settings.share * static_cast<double>(with.requests));
    CHECK(with.totalWork() <= (1 + settings.share) * without.totalWork());
}

TEST_CASE("While all upstreams have more to do than they can, second tries make nothing worse")
{
    const SecondTrySettings settings{0.1, 0.9};
    const Played without = Load({}, 2'800).play();
    const Played with = Load(settings, 2'800).play();
    report("overload", without, with);
    CHECK(without.milliseconds(0.5) > 1'000);
    CHECK(with.milliseconds(0.5) <= 1.05 * without.milliseconds(0.5));
    CHECK(with.milliseconds(0.99) <= 1.05 * without.milliseconds(0.99));
    CHECK(with.totalWork() <= (1 + settings.share) * without.totalWork());
}
