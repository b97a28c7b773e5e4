#include "gateway/internal/reachprober.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;
namespace beast = boost::beast;

namespace {

/// Interval between two probes of a service.
constexpr std::chrono::milliseconds ProbeInterval{400};
/// Timeout of opening a connection.
constexpr std::chrono::milliseconds ConnectTimeout{400};

}

ReachProber::ReachProber(GatewayContext &context)
    : m_context(context)
{
}

net::awaitable<void> ReachProber::run()
{
    while (true) {
        const std::vector<std::string> services = m_context.upstreamReach.unreachedServices();
        for (const std::string &service : services) {
            const bool reached = co_await probe(service);
            if (reached) {
                m_context.upstreamReach.noteReached(service);
            }
        }
        co_await pause(ProbeInterval);
    }
}

net::awaitable<bool> ReachProber::probe(const std::string &service)
{
    const std::vector<const directory::Upstream *> upstreams = m_context.directory.usable(service, hostNow());
    if (upstreams.empty()) {
        co_return false;
    }
    const http::Endpoint endpoint = upstreams[m_probes++ % upstreams.size()]->entry.endpoint;
    boost::system::error_code addressError;
    const net::ip::address address = net::ip::make_address(endpoint.address, addressError);
    if (addressError) {
        co_return false;
    }
    beast::tcp_stream stream(co_await net::this_coro::executor);
    stream.expires_after(ConnectTimeout);
    const auto [error] = co_await stream.async_connect(net::ip::tcp::endpoint(address, endpoint.port), net::as_tuple(net::use_awaitable));
    co_return !error;
}

}
