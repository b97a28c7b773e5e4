#pragma once

#include "http/ihttpserver.h"
#include "settings/settingsdocument.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace rosemaryshift::standins {

/// How a stand-in fails on command.
enum class FailureMode : std::uint8_t {
    None,
    Slow,       ///< Each step takes longer by a factor.
    SilentOpen, ///< Connections open at the command say nothing more; new ones work.
    Silent,     ///< Says nothing on any connection.
    Crossed,    ///< Answers become those to another request, with its id.
    Truncated,  ///< Answers break off before their end marker, with a clean end of the connection.
    Unfinished, ///< Answers are whole but for their end marker.
    LostAnswer, ///< Acts, then closes the connection without an answer.
    Rejecting,  ///< Answers that the request itself is at fault.
    Leaving,    ///< Declines new requests as not run and says that it is leaving.
    Down,       ///< Closes each connection before acting.
};

std::optional<FailureMode> failureModeFromName(std::string_view name);

/// The failure a stand-in was told to show. Thread-safe.
class Failures
{
public:
    /// Serves PUT /standin/failure with {"mode": NAME, "factor": N, "count": N}; false when the request is another one.
    /// With a count the failure ends by itself after so many requests.
    bool command(const http::Request &request, http::Response &response);
    /// The mode for the request that begins now.
    FailureMode beginRequest();
    /// The mode without counting a request.
    [[nodiscard]] FailureMode mode() const;
    /// Factor of FailureMode::Slow.
    [[nodiscard]] double factor() const;
    /// Time of FailureMode::Leaving until the stand-in is gone, in milliseconds.
    [[nodiscard]] std::uint64_t leavesInMs() const;
    /// Number of the last command; a request that began under an earlier one is on a connection open at the command.
    [[nodiscard]] std::uint64_t epoch() const;

private:
    mutable std::mutex m_mutex;
    FailureMode m_mode = FailureMode::None;
    double m_factor = 1;
    std::uint64_t m_remaining = 0;
    std::uint64_t m_leavesInMs = 0;
    std::uint64_t m_epoch = 0;
};

/// Waits for @p time on the current executor.
boost::asio::awaitable<void> pause(std::chrono::microseconds time);
/// Says nothing until the caller has gone away.
boost::asio::awaitable<void> staySilent(http::IResponseWriter &writer);
/// The answer of a stand-in that is leaving.
http::Response leavingAnswer(const Failures &failures);
/// A JSON answer.
http::Response jsonAnswer(int status, std::string body);

}
