#pragma once

#include "http/ihttpserver.h"
#include "settings/settingsdocument.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace rosemaryshift::standins {

/// Failures that a test can inject into a stand-in.
enum class FailureMode : std::uint8_t {
    None,
    Slow,       ///< Delays are multiplied by a factor; StandinPlatform waits that many milliseconds instead.
    SilentOpen, ///< Requests in progress when the command arrives get no further bytes; new ones are served.
    Silent,     ///< Requests get no answer, and their connections stay open.
    Crossed,    ///< Answers carry the content and the id of another request.
    Truncated,  ///< Answers are cut off halfway; the engine then ends the response cleanly, without the end marker.
    Unfinished, ///< Answers are complete except for the end marker.
    LostAnswer, ///< Runs the request, then closes the connection without the complete answer.
    Rejecting,  ///< Answers with status 400, as for an invalid request; engine only.
    Leaving,    ///< Answers new requests with status 503, marked as not run, and the time until the stand-in is gone.
    Down,       ///< Closes each connection without running the request.
};

std::optional<FailureMode> failureModeFromName(std::string_view name);

/// The failure that is injected into a stand-in. Thread-safe.
class FailureInjection
{
public:
    /// Handles PUT /standin/failure {"mode": NAME, "factor": N, "count": N, "leaves_in_ms": N}; false for any other request.
    /// With a count, the failure ends after that many requests.
    bool handleCommand(const http::Request &request, http::Response &response);
    /// Counts a request against the count of the command and gives the mode that applies from its beginning.
    FailureMode beginRequest();
    /// The current mode.
    [[nodiscard]] FailureMode mode() const;
    /// Factor of FailureMode::Slow; 1 in any other mode.
    [[nodiscard]] double factor() const;
    /// Milliseconds until the stand-in is gone, as announced in FailureMode::Leaving.
    [[nodiscard]] std::uint64_t leavesInMs() const;
    /// Number of commands so far. A request that sees it change was in progress at the last command.
    [[nodiscard]] std::uint64_t epoch() const;

private:
    mutable std::mutex m_mutex;
    FailureMode m_mode = FailureMode::None;
    double m_factor = 1;
    std::uint64_t m_remaining = 0; ///< Requests until the failure ends; zero for no limit.
    std::uint64_t m_leavesInMs = 0;
    std::uint64_t m_epoch = 0;
};

/// Waits for @p time on the executor of the calling coroutine.
boost::asio::awaitable<void> pause(std::chrono::microseconds time);
/// Sends nothing and returns when the caller has closed the connection.
boost::asio::awaitable<void> staySilent(http::IResponseWriter &writer);
/// The answer in FailureMode::Leaving: status 503, marked as not run.
http::Response leavingAnswer(const FailureInjection &failures);
/// An answer with a JSON body.
http::Response jsonAnswer(int status, std::string body);

}
