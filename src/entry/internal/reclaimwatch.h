#pragma once

#include "platform/iplatform.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace rosemaryshift::entry {

/// Waits for the platform's notice that this host is reclaimed. Not thread-safe.
class ReclaimWatch
{
public:
    using Handler = std::function<void(std::chrono::milliseconds notice)>;

    ReclaimWatch(std::shared_ptr<platform::IReclaimNotices> notices, std::string host, Handler handler);

    /// Asks until a notice came, then calls the handler once.
    boost::asio::awaitable<void> run();

private:
    const std::shared_ptr<platform::IReclaimNotices> m_notices;
    const std::string m_host;
    const Handler m_handler;
};

}
