#pragma once

#include <boost/asio.hpp>

#include <chrono>
#include <exception>
#include <utility>

namespace rosemaryshift::gateway {

/// Suspends the current coroutine for @p time.
inline boost::asio::awaitable<void> pause(std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

/// Starts @p task on @p executor. An exception that escapes it ends the process, which would otherwise go on without the task.
inline void startTask(const boost::asio::any_io_executor &executor, boost::asio::awaitable<void> task)
{
    boost::asio::co_spawn(executor, std::move(task), [](const std::exception_ptr &exception) {
        if (exception) {
            std::rethrow_exception(exception);
        }
    });
}

}
