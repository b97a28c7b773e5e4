#include "bookings/ibookingcoordinator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::bookings;

namespace {

constexpr std::size_t Hosts = 3;
constexpr std::size_t Keys = 4;
constexpr int Steps = 400;
constexpr std::uint64_t Seeds = 300;
constexpr Duration Step = std::chrono::milliseconds(20);

/// Hosts around one log whose appends are delayed, lost, or take effect without an answer, in the order of a seed.
class World
{
public:
    explicit World(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < Hosts; ++i) {
            BookingPolicy policy;
            policy.owner = "host" + std::to_string(i);
            m_hosts[i].coordinator = makeBookingCoordinator(policy);
        }
    }

    void step()
    {
        m_now += Step;
        Host &host = m_hosts[below(Hosts)];
        switch (below(7)) {
        case 0:
        case 1:
            arrive(host);
            break;
        case 2:
        case 3:
            read(host);
            break;
        case 4:
            append(host);
            break;
        case 5:
            finish(host);
            break;
        default:
            break; // The host is late.
        }
        tick(host);
    }

    std::map<std::string, int> runs;
    std::map<std::string, std::string> faults;
    std::size_t notRun = 0;

private:
    struct Running {
        RequestId request;
        std::string key;
    };

    struct Host {
        std::unique_ptr<IBookingCoordinator> coordinator;
        std::deque<AppendRecords> appends;
        std::deque<Running> running;
        std::map<RequestId, std::string> keys;
        std::map<RequestId, std::uint64_t> asked; ///< Order of the request among all of its key.
        std::uint64_t position = 0;
    };

    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(m_random() % bound);
    }

    void arrive(Host &host)
    {
        const std::string key = "key" + std::to_string(below(Keys));
        const RequestId request = static_cast<RequestId>(++m_lastRequest);
        host.keys[request] = key;
        host.asked[request] = ++m_asked[key];
        host.coordinator->post(BookingArrived{request, key, "digest", m_now + Step * static_cast<int>(below(200)), false, std::nullopt});
    }

    void read(Host &host)
    {
        const std::size_t end = host.position + below(m_log.size() - host.position + 1);
        for (; host.position < end; ++host.position) {
            host.coordinator->post(RecordRead{host.position, m_log[host.position], Duration(0)});
        }
        host.coordinator->post(LogRead{0, host.position, true});
    }

    /// Ends one of the host's appends, perhaps not the oldest.
    void append(Host &host)
    {
        if (host.appends.empty()) {
            return;
        }
        const std::deque<AppendRecords>::iterator chosen = host.appends.begin() + static_cast<std::ptrdiff_t>(below(host.appends.size()));
        const std::size_t fate = below(4);
        if (fate != 0) {
            m_log.insert(m_log.end(), chosen->records.begin(), chosen->records.end());
        }
        // A claim whose answer was lost may also have had no effect.
        const AppendOutcome outcome = fate == 0 ? (below(2) == 0 ? AppendOutcome::NotAppended : AppendOutcome::Unknown)
            : fate == 1                         ? AppendOutcome::Unknown
                                                : AppendOutcome::Appended;
        host.coordinator->post(AppendEnded{chosen->batch, outcome});
        host.appends.erase(chosen);
    }

    void finish(Host &host)
    {
        if (host.running.empty()) {
            return;
        }
        const Running running = host.running.front();
        host.running.pop_front();
        RunEnded ended{running.request, RunState::NotRun, std::nullopt};
        if (below(2) == 0) {
            ++runs[running.key];
            ended.run = below(2) == 0 ? RunState::Ran : RunState::Unknown;
        } else {
            refused(host, running.request);
        }
        host.coordinator->post(ended);
    }

    void tick(Host &host)
    {
        for (const BookingAction &action : host.coordinator->tick(m_now)) {
            if (const AppendRecords *const append = std::get_if<AppendRecords>(&action)) {
                host.appends.push_back(*append);
            } else if (const DispatchBooking *const dispatch = std::get_if<DispatchBooking>(&action)) {
                dispatched(host, dispatch->request);
            } else if (const RefuseBooking *const refusal = std::get_if<RefuseBooking>(&action); refusal != nullptr && refusal->run == RunState::NotRun) {
                refused(host, refusal->request);
            }
        }
    }

    void dispatched(Host &host, RequestId request)
    {
        const std::string &key = host.keys.at(request);
        if (host.asked.at(request) <= m_deniedUpTo[key]) {
            faults[key] = "a request that came before a refusal with not run was dispatched after it";
        }
        host.running.push_back({request, key});
    }

    /// All requests of the key that came so far must never run, since their caller was told so.
    void refused(Host &host, RequestId request)
    {
        ++notRun;
        const std::string &key = host.keys.at(request);
        if (runs[key] > 0) {
            faults[key] = "not run was said of a key that had run";
        }
        m_deniedUpTo[key] = m_asked[key];
    }

    std::mt19937_64 m_random;
    std::array<Host, Hosts> m_hosts;
    std::vector<BookingRecord> m_log;
    std::map<std::string, std::uint64_t> m_asked;
    std::map<std::string, std::uint64_t> m_deniedUpTo;
    std::uint64_t m_lastRequest = 0;
    TimePoint m_now;
};

}

SCENARIO("In whatever order things happen, a key runs at most once and not run is true")
{
    std::size_t runs = 0;
    std::size_t notRun = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        World world(seed);
        for (int i = 0; i < Steps; ++i) {
            world.step();
        }
        for (const auto &[key, count] : world.runs) {
            INFO(key);
            CHECK(count <= 1);
            runs += static_cast<std::size_t>(count);
        }
        notRun += world.notRun;
        REQUIRE(world.faults.empty());
    }
    INFO("runs " << runs << ", refusals with not run " << notRun);
    CHECK(runs > Seeds);
    CHECK(notRun > Seeds);
}
