#include "gateway/internal/sharedread.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

SharedRead::SharedRead(Read read)
    : m_read(std::move(read))
{
}

net::awaitable<bool> SharedRead::run()
{
    if (!m_ended) {
        m_ended.emplace(co_await net::this_coro::executor, net::steady_timer::time_point::max());
    }
    const std::uint64_t needed = m_begunReads + 1;
    while (m_endedReads < needed) {
        if (m_begunReads > m_endedReads) {
            co_await m_ended->async_wait(net::as_tuple(net::use_awaitable));
            continue;
        }
        ++m_begunReads;
        const bool succeeded = co_await m_read();
        m_succeeded = succeeded;
        m_endedReads = m_begunReads;
        m_ended->cancel();
    }
    co_return m_succeeded;
}

}
