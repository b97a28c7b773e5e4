#include "entry/internal/templatereappender.h"

#include "base/coretime.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds CheckInterval{100};

}

TemplateReappender::TemplateReappender(TemplateTable &templates,
                                       const UpstreamDirectory &upstreams,
                                       const LogFollower &follower,
                                       std::shared_ptr<platform::ILog> log)
    : m_templates(templates)
    , m_upstreams(upstreams)
    , m_follower(follower)
    , m_log(std::move(log))
{
}

net::awaitable<void> TemplateReappender::run()
{
    net::steady_timer delay(co_await net::this_coro::executor);
    while (true) {
        delay.expires_after(CheckInterval);
        co_await delay.async_wait(net::as_tuple(net::use_awaitable));
        if (!m_follower.reachable() || !m_follower.caughtUp()) {
            continue;
        }
        const templates::LogWindow window{m_follower.oldest(), m_follower.position()};
        std::vector<std::string> records = m_templates.carryForward(window, m_upstreams.entryHostCount(), coreNow());
        if (!records.empty()) {
            platform::PlatformFailure failure;
            co_await m_log->append(std::move(records), failure);
        }
    }
}

}
