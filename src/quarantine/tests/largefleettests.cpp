#include "quarantine/crashquarantine.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::quarantine;
using rosemaryshift::ports::PromptPart;

namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::seconds(1'000)};
constexpr milliseconds Step{5};
constexpr int RequestsPerStep = 5;
constexpr milliseconds AnswerTime{600};
constexpr std::uint64_t Workspaces = 40;
constexpr int Upstreams = 130;
/// Upstreams that go down and up by turns, and how often.
constexpr int UnstableUpstreams = 23;
constexpr milliseconds UnstableFrom{3'000};
constexpr milliseconds UnstableTo{9'000};
constexpr milliseconds CrashInterval{1'500};
constexpr milliseconds End{20'000};

struct Request {
    std::vector<PromptPart> parts;
    std::uint64_t fingerprint = 0;
    std::size_t host = 0;
    int upstream = 0;
    TimePoint endsAt;
};

/// Hosts that send each other their reports at the given interval, each at a time of its own, and upstreams that answer requests of workspaces whose prompts
/// have one part in common.
class Fleet
{
public:
    Fleet(std::size_t hosts, milliseconds interval)
        : m_interval(interval)
    {
        std::vector<std::string> names;
        for (std::size_t host = 0; host < hosts; ++host) {
            names.push_back("entry-" + std::to_string(host));
        }
        for (const std::string &name : names) {
            m_hosts.push_back(std::make_unique<CrashQuarantine>([](SuspectId, SuspectChange, std::size_t) {}));
            std::vector<std::string> others = names;
            std::erase(others, name);
            m_hosts.back()->setHosts(name, std::move(others));
            m_hosts.back()->setReportInterval(interval);
        }
    }

    /// Plays the day. Requests with the part @p deadly crash their upstream; 0 for none. Returns the part of the requests that are refused from
    /// @p from on, out of those with that part or out of all others.
    double refusedPart(std::uint64_t deadly, milliseconds from, bool ofDeadly)
    {
        int asked = 0;
        int refused = 0;
        for (milliseconds time{0}; time < End; time += Step) {
            const TimePoint now = Start + time;
            endRequests(now, deadly);
            crashUnstable(time, now);
            exchangeReports(time, now);
            for (int number = 0; number < RequestsPerStep; ++number) {
                Request request = newRequest(now);
                const bool counts = time >= from && (request.parts.front().id == deadly) == ofDeadly;
                asked += counts ? 1 : 0;
                if (m_hosts[request.host]->admit({"models", request.fingerprint, request.parts}, now)) {
                    refused += counts ? 1 : 0;
                } else {
                    m_running.push_back(std::move(request));
                }
            }
        }
        return static_cast<double>(refused) / asked;
    }

private:
    Request newRequest(TimePoint now)
    {
        // Few workspaces send many requests, and many send few.
        const std::uint64_t workspace = 1 + std::min(m_random() % Workspaces, m_random() % Workspaces);
        return {{{workspace, 500}}, ++m_requests, m_random() % m_hosts.size(), static_cast<int>(m_random() % Upstreams), now + AnswerTime};
    }

    void endRequests(TimePoint now, std::uint64_t deadly)
    {
        for (auto request = m_running.begin(); request != m_running.end();) {
            if (request->endsAt > now) {
                ++request;
                continue;
            }
            const Request ended = std::move(*request);
            request = m_running.erase(request);
            if (ended.parts.front().id == deadly) {
                noteBroken(ended, now);
            } else {
                m_hosts[ended.host]->noteCompleted({"models", ended.fingerprint, ended.parts}, now);
                notePresence(ended, now);
            }
        }
    }

    void crashUnstable(milliseconds time, TimePoint now)
    {
        if (time < UnstableFrom || time >= UnstableTo) {
            return;
        }
        std::erase_if(m_running, [&](const Request &request) {
            const bool crashes = request.upstream < UnstableUpstreams && (time + CrashInterval * request.upstream / UnstableUpstreams) % CrashInterval < Step;
            if (crashes) {
                noteBroken(request, now);
            }
            return crashes;
        });
    }

    void noteBroken(const Request &request, TimePoint now)
    {
        m_hosts[request.host]->noteBroken(
            {"models", request.fingerprint, request.parts}, "i-" + std::to_string(request.upstream), request.endsAt - AnswerTime, now);
        notePresence(request, now);
    }

    void notePresence(const Request &request, TimePoint now)
    {
        m_hosts[request.host]->notePresence("models", "i-" + std::to_string(request.upstream), request.endsAt - AnswerTime, now);
    }

    void exchangeReports(milliseconds time, TimePoint now)
    {
        for (std::size_t sender = 0; sender < m_hosts.size(); ++sender) {
            const milliseconds phase = m_interval * sender / m_hosts.size();
            if ((time + phase) % m_interval >= Step) {
                continue;
            }
            m_hosts[sender]->update(now);
            const std::vector<SuspectReport> reports = m_hosts[sender]->reports(now);
            for (std::size_t receiver = 0; receiver < m_hosts.size() && !reports.empty(); ++receiver) {
                if (receiver != sender) {
                    m_hosts[receiver]->apply(reports, now);
                }
            }
        }
    }

    const milliseconds m_interval;
    std::vector<std::unique_ptr<CrashQuarantine>> m_hosts;
    std::vector<Request> m_running;
    std::mt19937 m_random{1};
    std::uint64_t m_requests = 0;
};

}

// Guards against hosts of a large fleet that take the prompts of busy workspaces for the cause of crashes, since complete answers on other hosts are heard of
// only after the interval of the reports, and refuse them until the end of the hold.
TEST_CASE("Upstreams that go down and up by turns bring no prompt into quarantine for long, whatever the number of hosts")
{
    const auto [hosts, interval] = GENERATE(table<std::size_t, milliseconds>({{8, milliseconds(400)}, {77, milliseconds(610)}, {295, milliseconds(2'350)}}));
    CAPTURE(hosts);

    SECTION("when the upstreams are the cause")
    {
        CHECK(Fleet(hosts, interval).refusedPart(0, milliseconds(0), false) <= 0.01);
    }
    SECTION("and a prompt that crashes upstreams is kept away from them at the same time")
    {
        constexpr std::uint64_t Deadly = 7;
        CHECK(Fleet(hosts, interval).refusedPart(Deadly, milliseconds(12'000), true) >= 0.95);
        CHECK(Fleet(hosts, interval).refusedPart(Deadly, milliseconds(0), false) <= 0.01);
    }
}
