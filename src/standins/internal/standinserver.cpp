#include "standins/standinserver.h"

#include "base/json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace rosemaryshift::standins {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds CallerGonePollInterval{50};

struct NamedMode {
    std::string_view name;
    FailureMode mode;
};

constexpr std::array Modes{
    NamedMode{"none", FailureMode::None},
    NamedMode{"slow", FailureMode::Slow},
    NamedMode{"silent_open", FailureMode::SilentOpen},
    NamedMode{"silent", FailureMode::Silent},
    NamedMode{"crossed", FailureMode::Crossed},
    NamedMode{"truncated", FailureMode::Truncated},
    NamedMode{"unfinished", FailureMode::Unfinished},
    NamedMode{"lost_answer", FailureMode::LostAnswer},
    NamedMode{"rejecting", FailureMode::Rejecting},
    NamedMode{"leaving", FailureMode::Leaving},
    NamedMode{"down", FailureMode::Down},
};

}

std::optional<FailureMode> failureModeFromName(std::string_view name)
{
    for (const NamedMode &named : Modes) {
        if (named.name == name) {
            return named.mode;
        }
    }
    return std::nullopt;
}

bool FailureInjection::handleCommand(const http::Request &request, http::Response &response)
{
    if (request.method != "PUT" || request.target != "/standin/failure") {
        return false;
    }
    std::string reason;
    const std::optional<Json::Value> body = parseJson(request.body, reason);
    const std::optional<FailureMode> mode = body ? failureModeFromName(stringMember(*body, "mode").value_or("")) : std::nullopt;
    if (!mode) {
        response = jsonAnswer(400, R"({"error":"mode must be none, slow, silent_open, silent, crossed, truncated, unfinished, lost_answer, leaving or down"})");
        return true;
    }
    const std::lock_guard lock(m_mutex);
    m_mode = *mode;
    m_factor = (*body)["factor"].isNumeric() ? (*body)["factor"].asDouble() : 1;
    m_remaining = unsignedMember(*body, "count").value_or(0);
    m_leavesInMs = unsignedMember(*body, "leaves_in_ms").value_or(0);
    ++m_epoch;
    response = jsonAnswer(200, "{}");
    return true;
}

FailureMode FailureInjection::beginRequest()
{
    const std::lock_guard lock(m_mutex);
    const FailureMode mode = m_mode;
    if (m_remaining > 0 && --m_remaining == 0) {
        m_mode = FailureMode::None;
    }
    return mode == FailureMode::SilentOpen ? FailureMode::None : mode;
}

FailureMode FailureInjection::mode() const
{
    const std::lock_guard lock(m_mutex);
    return m_mode;
}

double FailureInjection::factor() const
{
    const std::lock_guard lock(m_mutex);
    return m_mode == FailureMode::Slow ? m_factor : 1;
}

std::uint64_t FailureInjection::leavesInMs() const
{
    const std::lock_guard lock(m_mutex);
    return m_leavesInMs;
}

std::uint64_t FailureInjection::epoch() const
{
    const std::lock_guard lock(m_mutex);
    return m_epoch;
}

net::awaitable<void> pause(std::chrono::microseconds time)
{
    net::steady_timer timer(co_await net::this_coro::executor, time);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

net::awaitable<void> staySilent(http::IResponseWriter &writer)
{
    while (!writer.callerGone()) {
        co_await pause(CallerGonePollInterval);
    }
}

http::Response leavingAnswer(const FailureInjection &failures)
{
    http::Response response = jsonAnswer(503, R"({"error":"leaving"})");
    response.headers.add("Rosemaryshift-Run", "not-run");
    response.headers.add("Rosemaryshift-Leaving-Ms", std::to_string(failures.leavesInMs()));
    return response;
}

http::Response jsonAnswer(int status, std::string body)
{
    http::Response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

}
