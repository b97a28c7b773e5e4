#pragma once

#include "platform/iplatform.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace rosemaryshift::entry {

/// Waits for the platform's notice that it will reclaim this host. Not thread-safe.
class ReclaimWatch
{
public:
    /// Called with the time left until the host is reclaimed.
    using Handler = std::function<void(std::chrono::milliseconds notice)>;

    ReclaimWatch(std::shared_ptr<platform::IReclaimNotices> notices, std::string host, Handler handler);

    /// Polls the platform until it announces a reclaim, then calls the handler once and returns.
    boost::asio::awaitable<void> run();

private:
    const std::shared_ptr<platform::IReclaimNotices> m_notices;
    const std::string m_host;
    const Handler m_handler;
};

}
