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

/// Simulates hosts that share one log. Appends are delayed, lost, or take effect without an answer, chosen at random from a seed.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
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
        Host &host = m_hosts[randomBelow(Hosts)];
        switch (randomBelow(7)) {
        case 0:
        case 1:
            postArrival(host);
            break;
        case 2:
        case 3:
            readLog(host);
            break;
        case 4:
            finishAppend(host);
            break;
        case 5:
            finishRun(host);
            break;
        default:
            break; // No event is posted in this step.
        }
        tick(host);
    }

    std::map<std::string, int> runs;               ///< Number of runs by key.
    std::map<std::string, std::string> violations; ///< Description of the last violation by key.
    std::size_t notRunRefusals = 0;

private:
    /// A dispatched booking that has not ended.
    struct Running {
        RequestId request;
        std::string key;
    };

    struct Host {
        std::unique_ptr<IBookingCoordinator> coordinator;
        std::deque<AppendRecords> appends;
        std::deque<Running> running;
        std::map<RequestId, std::string> keys;
        std::map<RequestId, std::uint64_t> arrivalNumber; ///< Number of the request among all with its key, in the order of arrival.
        std::uint64_t position = 0;
    };

    std::size_t randomBelow(std::size_t bound)
    {
        return static_cast<std::size_t>(m_random() % bound);
    }

    void postArrival(Host &host)
    {
        const std::string key = "key" + std::to_string(randomBelow(Keys));
        const RequestId request = static_cast<RequestId>(++m_lastRequest);
        host.keys[request] = key;
        host.arrivalNumber[request] = ++m_arrivals[key];
        host.coordinator->post(BookingArrived{request, key, "digest", m_now + Step * static_cast<int>(randomBelow(200)), false, std::nullopt});
    }

    void readLog(Host &host)
    {
        const std::size_t end = host.position + randomBelow(m_log.size() - host.position + 1);
        for (; host.position < end; ++host.position) {
            host.coordinator->post(RecordRead{host.position, m_log[host.position], Duration(0)});
        }
        host.coordinator->post(LogRead{0, host.position, true});
    }

    /// Ends a random one of the host's appends in flight.
    void finishAppend(Host &host)
    {
        if (host.appends.empty()) {
            return;
        }
        const std::deque<AppendRecords>::iterator chosen = host.appends.begin() + static_cast<std::ptrdiff_t>(randomBelow(host.appends.size()));
        const std::size_t fate = randomBelow(4);
        if (fate != 0) {
            m_log.insert(m_log.end(), chosen->records.begin(), chosen->records.end());
        }
        // An append with an unknown result may have had no effect, too.
        const AppendOutcome outcome = fate == 0 ? (randomBelow(2) == 0 ? AppendOutcome::NotAppended : AppendOutcome::Unknown)
            : fate == 1                         ? AppendOutcome::Unknown
                                                : AppendOutcome::Appended;
        host.coordinator->post(AppendEnded{chosen->batch, outcome});
        host.appends.erase(chosen);
    }

    void finishRun(Host &host)
    {
        if (host.running.empty()) {
            return;
        }
        const Running running = host.running.front();
        host.running.pop_front();
        RunEnded ended{running.request, RunState::NotRun, std::nullopt};
        if (randomBelow(2) == 0) {
            ++runs[running.key];
            ended.run = randomBelow(2) == 0 ? RunState::Ran : RunState::Unknown;
        } else {
            noteNotRunRefusal(host, running.request);
        }
        host.coordinator->post(ended);
    }

    void tick(Host &host)
    {
        for (const BookingAction &action : host.coordinator->tick(m_now)) {
            if (const AppendRecords *const append = std::get_if<AppendRecords>(&action)) {
                host.appends.push_back(*append);
            } else if (const DispatchBooking *const dispatch = std::get_if<DispatchBooking>(&action)) {
                noteDispatch(host, dispatch->request);
            } else if (const RefuseBooking *const refusal = std::get_if<RefuseBooking>(&action); refusal != nullptr && refusal->run == RunState::NotRun) {
                noteNotRunRefusal(host, refusal->request);
            }
        }
    }

    void noteDispatch(Host &host, RequestId request)
    {
        const std::string &key = host.keys.at(request);
        if (host.arrivalNumber.at(request) <= m_refusedUpTo[key]) {
            violations[key] = "a request was dispatched although its key was refused as not run after the arrival of the request";
        }
        host.running.push_back({request, key});
    }

    /// Notes a refusal with "not run": no request with the key that has arrived so far may run any more.
    void noteNotRunRefusal(Host &host, RequestId request)
    {
        ++notRunRefusals;
        const std::string &key = host.keys.at(request);
        if (runs[key] > 0) {
            violations[key] = "a request was refused as not run although its key had run";
        }
        m_refusedUpTo[key] = m_arrivals[key];
    }

    std::mt19937_64 m_random;
    std::array<Host, Hosts> m_hosts;
    std::vector<BookingRecord> m_log;
    std::map<std::string, std::uint64_t> m_arrivals;
    std::map<std::string, std::uint64_t> m_refusedUpTo;
    std::uint64_t m_lastRequest = 0;
    TimePoint m_now;
};

}

SCENARIO("In any order of events, a booking runs at most once per key, and refusals as not run are correct")
{
    std::size_t runs = 0;
    std::size_t notRunRefusals = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        Simulation simulation(seed);
        for (int i = 0; i < Steps; ++i) {
            simulation.step();
        }
        for (const auto &[key, count] : simulation.runs) {
            INFO(key);
            CHECK(count <= 1);
            runs += static_cast<std::size_t>(count);
        }
        notRunRefusals += simulation.notRunRefusals;
        REQUIRE(simulation.violations.empty());
    }
    INFO("runs " << runs << ", refusals as not run " << notRunRefusals);
    CHECK(runs > Seeds);
    CHECK(notRunRefusals > Seeds);
}
