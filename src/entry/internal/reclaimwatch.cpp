#include "entry/internal/reclaimwatch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;

namespace {

/// Longest time that the platform delays its answer while there is no notice.
constexpr std::chrono::milliseconds NoticeWait{2'000};
constexpr std::chrono::milliseconds RetryDelay{200};

}

ReclaimWatch::ReclaimWatch(std::shared_ptr<platform::IReclaimNotices> notices, std::string host, Handler handler)
    : m_notices(std::move(notices))
    , m_host(std::move(host))
    , m_handler(std::move(handler))
{
}

net::awaitable<void> ReclaimWatch::run()
{
    net::steady_timer delay(co_await net::this_coro::executor);
    while (true) {
        platform::PlatformFailure failure;
        std::string host = m_host;
        const std::optional<std::vector<std::chrono::milliseconds>> found = co_await m_notices->notices(std::move(host), NoticeWait, failure);
        if (found && !found->empty()) {
            m_handler(found->front());
            co_return;
        }
        if (!found) {
            delay.expires_after(RetryDelay);
            co_await delay.async_wait(net::as_tuple(net::use_awaitable));
        }
    }
}

}
