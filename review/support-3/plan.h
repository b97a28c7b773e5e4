#pragma once

#include <chrono>
#include <cstddef>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rosemaryshift::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int CouldNotRun = 2;

/// `contact_ms` of the users' sheet.
inline constexpr milliseconds ContactTime{3'000};
/// Added to it for the way from a gateway to a server.
inline constexpr milliseconds WayTime{100};
/// Time without trouble at the beginning of a case.
inline constexpr milliseconds CalmTime{4'000};

/// Prefix of the second route, if there is one.
inline constexpr std::string_view LookupPath = "/lookup/";

/// The deployment of a case, its traffic and its trouble.
struct Plan {
    std::string service = "dispatch-app";
    std::size_t gateways = 2;
    std::string path = "/booking/"; ///< Prefix of the main route.
    bool stream = false;            ///< Resumable streams of a model service; otherwise requests that may run once.
    int servers = 0;
    int slots = 0;             ///< Requests that a server runs at once.
    int queue = 24;            ///< Requests that a server lets wait, unless it answers by streams.
    milliseconds work{15};     ///< Time that an application server takes for a request.
    milliseconds down{3'000};  ///< Time after which a server that fell is back.
    double soundPerSecond = 0; ///< Sound requests of all clients.
    bool clumped = false;      ///< They come at random, not at even distances.
    milliseconds length{0};    ///< Of the traffic.

    int deadlyKinds = 0;         ///< Different requests that crash each server that runs them; each is repeated.
    milliseconds deadlyPause{0}; ///< Between two of these requests, of whichever kind.

    milliseconds rolloutTime{0}; ///< Time of an order to roll out version v2, which as many servers run as the one before; 0 when there is none.
    double badPart = 0;          ///< Part of the requests on the main route that v2 runs and answers with a failure.
    double lookupsPerSecond = 0; ///< Sound requests on a second route of the service, which v2 serves well.

    std::size_t tolerated = 0; ///< Refusals in a second that a brittle server survives; 0 when no server becomes brittle.
    int brittleQueue = 0;      ///< Requests that it lets wait, from ContactTime after it began to say that it is brittle.
};

/// Lines of what was sent, answered and run. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &file);

    void write(const std::string &line);
    /// Writes a line of the result, also to the standard output.
    void writeResult(const std::string &line);
    /// Time since the record was opened.
    [[nodiscard]] milliseconds now() const;

private:
    std::ofstream m_file;
    const Clock::time_point m_start;
    std::mutex m_mutex;
};

/// What servers and clients have seen. Not thread-safe.
struct Seen {
    std::map<std::string, std::vector<milliseconds>> deadlyArrivals; ///< At servers, by the kind of deadly request.
    std::map<std::string, std::vector<milliseconds>> falls;          ///< Of servers, by their cause.
    std::vector<std::pair<milliseconds, bool>> begun;                ///< When each sound request was sent, and whether its answer began.
    std::vector<milliseconds> badAnswers;                            ///< Of version v2.
    std::vector<std::pair<milliseconds, bool>> arrivals;             ///< At servers during a roll-out, and whether at version v2.
    milliseconds orderedAt{0};
    int interrupted = 0;      ///< Sound requests that servers were running when they fell.
    int refusedByServers = 0; ///< For want of room.
    int sent = 0;             ///< Sound requests; the following numbers are of these.
    int whole = 0;
    int brokenOff = 0;
    int failed = 0;
    int refused = 0;
};

}
