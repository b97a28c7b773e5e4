#include "quarantine/crashquarantine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::quarantine;
using rosemaryshift::ports::PromptPart;

namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1'000)};
constexpr milliseconds Step{5};
constexpr milliseconds ReportInterval{400};
constexpr milliseconds End{40'000};
/// Time without crashes at the beginning.
constexpr milliseconds CalmTime{4'000};
/// Time for which answers are reset, after the calm.
constexpr milliseconds ResetTime{4'000};
/// Time after which an upstream that crashed is back.
constexpr milliseconds DownTime{3'000};
/// Time for which an upstream runs a deadly request before it crashes.
constexpr milliseconds DeadlyTime{60};
constexpr std::size_t MaxAttempts = 2;
constexpr std::uint64_t Common = 0xc0;
constexpr std::uint64_t Deadly = 0xdead;

/// A service and its traffic.
struct Scenario {
    std::size_t hosts = 2;
    std::size_t upstreams = 4;
    double soundPerSecond = 12;
    milliseconds soundTime{2'000};
    std::uint64_t callers = 5;       ///< Sound requests share a prompt part with their caller, and one with all.
    std::size_t deadlyKinds = 0;     ///< Different deadly prompt parts, or different deadly requests, which come by turns.
    bool deadlyParts = true;         ///< No two deadly requests are equal but for their part; otherwise those of a kind are equal and share no part.
    milliseconds deadlyPause{1'000}; ///< Between two deadly requests.
    double resetShare = 0;           ///< Part of the answers to sound requests that are reset in ResetTime, while their upstreams go on.
    milliseconds crashPause{0};      ///< Average time between two crashes that no request causes; 0 for none.
    std::uint32_t seed = 1;
};

struct Result {
    std::size_t mostLate = 0; ///< Deadly requests of one kind that reached upstreams later than 3 s after the fifth crash, or the third of equal requests.
    std::size_t sound = 0;
    std::size_t soundRefused = 0;
    std::size_t lateSound = 0; ///< Sound requests in the last half of the time, and those of them that were answered.
    std::size_t lateAnswered = 0;
};

struct Request {
    std::vector<PromptPart> parts;
    std::uint64_t fingerprint = 0;
    std::size_t host = 0;
    std::size_t deadlyKind = 0; ///< From 1 on; 0 for a sound request.
    std::size_t attempts = 0;
    bool late = false;
    std::size_t upstream = 0;
    TimePoint sentAt;
    TimePoint endsAt;
};

/// Hosts that send each other their reports, before upstreams that break all requests in progress when they crash.
class Service
{
public:
    explicit Service(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_upAt(scenario.upstreams)
        , m_crashes(scenario.deadlyKinds + 1)
        , m_arrivals(scenario.deadlyKinds + 1)
    {
        std::vector<std::string> names;
        for (std::size_t host = 0; host < scenario.hosts; ++host) {
            names.push_back("entry-" + std::to_string(host));
        }
        for (const std::string &name : names) {
            std::vector<std::string> others = names;
            std::erase(others, name);
            m_hosts.push_back(std::make_unique<CrashQuarantine>([](SuspectId, SuspectChange, std::size_t) {}));
            m_hosts.back()->setHosts(name, std::move(others));
        }
    }

    Result play()
    {
        for (milliseconds time{0}; time < End; time += Step) {
            m_now = Start + time;
            endRequests();
            exchangeReports(time);
            sendRequests(time);
            const bool crashes
                = m_scenario.crashPause > milliseconds(0) && time >= CalmTime && chance(Step / std::chrono::duration<double>(m_scenario.crashPause));
            if (crashes) {
                crash(m_random() % m_scenario.upstreams);
            }
        }
        const std::size_t crashesBefore = m_scenario.deadlyParts ? 5 : 3;
        for (std::size_t kind = 1; kind <= m_scenario.deadlyKinds; ++kind) {
            const std::vector<TimePoint> &crashes = m_crashes[kind];
            if (crashes.size() >= crashesBefore) {
                const TimePoint limit = crashes[crashesBefore - 1] + milliseconds(3'000);
                const std::ptrdiff_t late = std::ranges::count_if(m_arrivals[kind], [limit](TimePoint arrival) { return arrival > limit; });
                m_result.mostLate = std::max(m_result.mostLate, static_cast<std::size_t>(late));
            }
        }
        return m_result;
    }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    void sendRequests(milliseconds time)
    {
        if (chance(m_scenario.soundPerSecond * std::chrono::duration<double>(Step).count())) {
            Request request;
            request.parts = {{Common, 500}, {1 + m_random() % m_scenario.callers, 500}};
            request.fingerprint = ++m_requests;
            request.host = m_random() % m_hosts.size();
            request.late = time >= End / 2 && time < End - 2 * m_scenario.soundTime;
            ++m_result.sound;
            m_result.lateSound += request.late ? 1 : 0;
            send(std::move(request));
        }
        if (m_scenario.deadlyKinds > 0 && time >= CalmTime && time % m_scenario.deadlyPause < Step) {
            Request request;
            request.deadlyKind = 1 + m_nextKind++ % m_scenario.deadlyKinds;
            request.fingerprint = m_scenario.deadlyParts ? ++m_requests : Deadly + request.deadlyKind;
            request.parts = {{Common, 500}, {1 + m_random() % m_scenario.callers, 500}};
            if (m_scenario.deadlyParts) {
                request.parts.push_back({Deadly + request.deadlyKind, 500});
            }
            request.host = m_random() % m_hosts.size();
            send(std::move(request));
        }
    }

    void send(Request request)
    {
        if (m_hosts[request.host]->admit(traits(request), m_now)) {
            m_result.soundRefused += request.deadlyKind == 0 ? 1 : 0;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t upstream = 0; upstream < m_upAt.size(); ++upstream) {
            if (m_upAt[upstream] <= m_now) {
                up.push_back(upstream);
            }
        }
        if (up.empty() || request.attempts == MaxAttempts) {
            return;
        }
        ++request.attempts;
        request.upstream = up[m_random() % up.size()];
        request.sentAt = m_now;
        request.endsAt = m_now + (request.deadlyKind > 0 ? DeadlyTime : m_scenario.soundTime);
        if (request.deadlyKind > 0) {
            m_arrivals[request.deadlyKind].push_back(m_now);
        }
        m_running.push_back(std::move(request));
    }

    void endRequests()
    {
        while (true) {
            const auto ended = std::ranges::find_if(m_running, [this](const Request &request) { return request.endsAt <= m_now; });
            if (ended == m_running.end()) {
                return;
            }
            if (ended->deadlyKind > 0) {
                m_crashes[ended->deadlyKind].push_back(m_now);
                crash(ended->upstream);
                continue;
            }
            Request request = std::move(*ended);
            m_running.erase(ended);
            const bool mayBeReset = m_scenario.resetShare > 0 && m_now >= Start + CalmTime && m_now < Start + CalmTime + ResetTime;
            if (mayBeReset && chance(m_scenario.resetShare)) {
                m_hosts[request.host]->noteBroken(traits(request), nameOf(request.upstream), request.sentAt, m_now);
                m_hosts[request.host]->notePresence("models", nameOf(request.upstream), request.sentAt, m_now);
                send(std::move(request));
                continue;
            }
            m_hosts[request.host]->noteCompleted(traits(request), m_now);
            m_hosts[request.host]->notePresence("models", nameOf(request.upstream), request.sentAt, m_now);
            m_result.lateAnswered += request.late ? 1 : 0;
        }
    }

    void crash(std::size_t upstream)
    {
        m_upAt[upstream] = m_now + DownTime;
        std::vector<Request> broken;
        for (Request &request : m_running) {
            if (request.upstream == upstream) {
                broken.push_back(request);
            }
        }
        std::erase_if(m_running, [upstream](const Request &request) { return request.upstream == upstream; });
        for (const Request &request : broken) {
            m_hosts[request.host]->noteBroken(traits(request), nameOf(upstream), request.sentAt, m_now);
            m_hosts[request.host]->notePresence("models", nameOf(upstream), request.sentAt, m_now);
        }
        for (Request &request : broken) {
            send(std::move(request));
        }
    }

    void exchangeReports(milliseconds time)
    {
        for (std::size_t sender = 0; sender < m_hosts.size(); ++sender) {
            if ((time + ReportInterval * sender / m_hosts.size()) % ReportInterval >= Step) {
                continue;
            }
            m_hosts[sender]->update(m_now);
            const std::vector<SuspectReport> reports = m_hosts[sender]->reports(m_now);
            for (std::size_t receiver = 0; receiver < m_hosts.size(); ++receiver) {
                if (receiver != sender) {
                    m_hosts[receiver]->apply(reports, m_now);
                }
            }
        }
    }

    static RequestTraits traits(const Request &request)
    {
        return {"models", request.fingerprint, request.parts};
    }

    static std::string nameOf(std::size_t upstream)
    {
        return "i-" + std::to_string(upstream);
    }

    const Scenario m_scenario;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<CrashQuarantine>> m_hosts;
    std::vector<TimePoint> m_upAt;
    std::vector<std::vector<TimePoint>> m_crashes;  ///< By kind of deadly request.
    std::vector<std::vector<TimePoint>> m_arrivals; ///< At upstreams, by kind of deadly request.
    std::vector<Request> m_running;
    std::uint64_t m_requests = 0;
    std::size_t m_nextKind = 0;
    TimePoint m_now;
    Result m_result;
};

/// Deadly requests that may reach upstreams late, those that were on the way included.
constexpr std::size_t MaxLate = 3;

}

// Guards against a deadly prompt part that is shielded by its own damage: the streams that its crashes break look as if the service failed as a whole.
TEST_CASE("A prompt part that crashes upstreams is kept away from them while its crashes break most other streams")
{
    Scenario scenario;
    scenario.deadlyKinds = 1;
    scenario.seed = GENERATE(range(1U, 6U));
    scenario.hosts = GENERATE(2, 3, 9);
    CAPTURE(scenario.seed, scenario.hosts);

    SECTION("before a few upstreams, however often it comes")
    {
        scenario.upstreams = GENERATE(4, 6, 9);
        scenario.deadlyPause = milliseconds(GENERATE(500, 1'000, 1'500, 2'000));
        CAPTURE(scenario.upstreams, scenario.deadlyPause.count());
        const Result result = Service(scenario).play();
        CHECK(result.mostLate <= MaxLate);
        CHECK(result.soundRefused <= result.sound / 100);
        CHECK(result.lateAnswered >= result.lateSound * 9 / 10);
    }
    SECTION("beside other deadly parts")
    {
        scenario.upstreams = GENERATE(4, 9);
        scenario.deadlyKinds = GENERATE(2, 3);
        CAPTURE(scenario.upstreams, scenario.deadlyKinds);
        const Result result = Service(scenario).play();
        CHECK(result.mostLate <= MaxLate);
        CHECK(result.soundRefused <= result.sound / 100);
    }
    SECTION("beside streams that are long")
    {
        scenario.soundTime = milliseconds(8'000);
        scenario.soundPerSecond = 6;
        const Result result = Service(scenario).play();
        CHECK(result.mostLate <= MaxLate);
        CHECK(result.soundRefused <= result.sound / 100);
    }
}

// Guards against several deadly requests that shield each other: none of them is at half of the crashes of the service.
TEST_CASE("Several equal requests that crash upstreams at the same time are each kept away from them")
{
    Scenario scenario;
    scenario.seed = GENERATE(range(1U, 6U));
    scenario.hosts = GENERATE(2, 3);
    scenario.deadlyKinds = GENERATE(1, 2, 3, 4);
    scenario.deadlyParts = false;
    scenario.upstreams = GENERATE(6, 9);
    scenario.soundPerSecond = 60;
    scenario.soundTime = milliseconds(30);
    CAPTURE(scenario.seed, scenario.hosts, scenario.deadlyKinds, scenario.upstreams);
    const Result result = Service(scenario).play();
    CHECK(result.mostLate <= MaxLate);
    CHECK(result.soundRefused <= result.sound / 100);
}

// Guards against refusing sound requests for crashes that no request causes.
TEST_CASE("Crashes that no request causes bring no sound prompt into quarantine")
{
    Scenario scenario;
    scenario.seed = GENERATE(range(1U, 11U));
    scenario.hosts = GENERATE(1, 2, 9);
    scenario.upstreams = GENERATE(4, 9);
    scenario.callers = GENERATE(1U, 5U, 40U);
    scenario.crashPause = milliseconds(GENERATE(200, 700, 2'000));
    scenario.soundTime = milliseconds(GENERATE(30, 2'000, 8'000));
    CAPTURE(scenario.seed, scenario.hosts, scenario.upstreams, scenario.callers, scenario.crashPause.count(), scenario.soundTime.count());
    const Result result = Service(scenario).play();
    CHECK(result.soundRefused <= result.sound / 100);
}

// Guards against sound prompt parts that are refused for minutes because answers were reset for a few seconds, while their upstreams went on.
TEST_CASE("Answers that are reset by a network fault bring no sound prompt into quarantine")
{
    Scenario scenario;
    scenario.seed = GENERATE(range(1U, 11U));
    scenario.hosts = GENERATE(2, 9);
    scenario.upstreams = GENERATE(9, 40);
    scenario.callers = GENERATE(40U, 400U);
    scenario.soundPerSecond = 60;
    scenario.soundTime = milliseconds(300);
    scenario.resetShare = GENERATE(0.1, 0.3, 0.6);
    CAPTURE(scenario.seed, scenario.hosts, scenario.upstreams, scenario.callers, scenario.resetShare);
    const Result result = Service(scenario).play();
    CHECK(result.soundRefused == 0);
}
