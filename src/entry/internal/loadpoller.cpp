#include "entry/internal/loadpoller.h"

#include "base/json.h"
#include "http/ihttpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>

namespace rosemaryshift::entry {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds PollInterval{1'000};
constexpr std::chrono::milliseconds PollTimeout{2'000};
constexpr int StatusOk = 200;

http::ClientTimeouts pollTimeouts()
{
    http::ClientTimeouts timeouts;
    timeouts.connect = PollTimeout;
    timeouts.header = PollTimeout;
    timeouts.body = PollTimeout;
    return timeouts;
}

std::uint32_t countMember(const Json::Value &report, const char *key)
{
    constexpr std::uint64_t MaxCount = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::uint32_t>(std::min(unsignedMember(report, key).value_or(0), MaxCount));
}

}

LoadPoller::LoadPoller(net::io_context &context, const UpstreamDirectory &upstreams, Clock clock, UpstreamDirectory::EventSink sink)
    : m_context(context)
    , m_upstreams(upstreams)
    , m_clock(std::move(clock))
    , m_sink(std::move(sink))
{
}

net::awaitable<void> LoadPoller::run()
{
    net::steady_timer timer(m_context);
    while (true) {
        for (const UpstreamAddress &address : m_upstreams.liveAddresses()) {
            if (m_pending.insert(address.upstream).second) {
                net::co_spawn(m_context, poll(address.upstream, address.endpoint), net::detached);
            }
        }
        timer.expires_after(PollInterval);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    }
}

net::awaitable<void> LoadPoller::poll(UpstreamId upstream, http::Endpoint endpoint)
{
    http::Request request;
    request.target = "/load";
    http::ClientFailure failure;
    const TimePoint requestedAt = m_clock();
    const http::ClientTimeouts timeouts = pollTimeouts();
    const std::optional<http::Response> response = co_await http::fetch(endpoint, std::move(request), timeouts, failure);
    m_pending.erase(upstream);
    if (!response || response->status != StatusOk) {
        co_return;
    }
    std::string reason;
    const std::optional<Json::Value> report = parseJson(response->body, reason);
    if (report && report->isObject() && report->isMember("running")) {
        m_sink(decisions::UpstreamReported{upstream, countMember(*report, "running"), countMember(*report, "queued"), requestedAt});
    }
}

}
