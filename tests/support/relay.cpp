#include "support/relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <list>
#include <thread>

namespace rosemaryshift::testing {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr std::size_t BufferBytes = 16 * 1024;

/// The two sockets of one connection through the relay.
struct Link {
    explicit Link(net::io_context &context)
        : client(context)
        , target(context)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        client.close(ignored);
        target.close(ignored);
    }

    tcp::socket client;
    tcp::socket target;
};

}

struct Relay::State {
    explicit State(const http::Endpoint &endpoint)
        : target(net::ip::make_address(endpoint.address), endpoint.port)
        , acceptor(context, tcp::endpoint(net::ip::address_v4::loopback(), 0))
        , holdChanged(context, net::steady_timer::time_point::max())
    {
    }

    /// Runs @p change on the relay's thread, wakes coroutines that hold data back, and returns when that is done.
    void command(const std::function<void()> &change)
    {
        std::promise<void> done;
        net::post(context, [&] {
            change();
            holdChanged.cancel();
            done.set_value();
        });
        done.get_future().wait();
    }

    net::awaitable<void> accept()
    {
        while (true) {
            const std::shared_ptr<Link> link = std::make_shared<Link>(context);
            const auto [error] = co_await acceptor.async_accept(link->client, net::as_tuple(net::use_awaitable));
            if (error) {
                co_return;
            }
            if (isCut) {
                link->close();
                continue;
            }
            links.push_back(link);
            net::co_spawn(context, connect(link), net::detached);
        }
    }

    net::awaitable<void> connect(std::shared_ptr<Link> link)
    {
        const auto [error] = co_await link->target.async_connect(target, net::as_tuple(net::use_awaitable));
        if (error) {
            link->close();
            co_return;
        }
        net::co_spawn(context, forward(link, link->client, link->target, holdsRequests), net::detached);
        net::co_spawn(context, forward(link, link->target, link->client, holdsAnswers), net::detached);
    }

    net::awaitable<void> forward(std::shared_ptr<Link> link, tcp::socket &from, tcp::socket &to, const bool &held)
    {
        std::array<char, BufferBytes> buffer{};
        while (true) {
            const auto [readError, size] = co_await from.async_read_some(net::buffer(buffer), net::as_tuple(net::use_awaitable));
            while (held && from.is_open()) {
                co_await holdChanged.async_wait(net::as_tuple(net::use_awaitable));
            }
            if (readError) {
                boost::system::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                co_return;
            }
            const auto [writeError, written] = co_await net::async_write(to, net::buffer(buffer, size), net::as_tuple(net::use_awaitable));
            if (writeError) {
                link->close();
                co_return;
            }
            forwardedBytes += written;
        }
    }

    void closeAll()
    {
        for (const std::weak_ptr<Link> &weak : links) {
            const std::shared_ptr<Link> link = weak.lock();
            if (link) {
                link->close();
            }
        }
        links.clear();
    }

    tcp::endpoint target;
    net::io_context context{1};
    tcp::acceptor acceptor;
    net::steady_timer holdChanged; ///< Never expires; cancelled by each command to wake the coroutines that hold data back.
    std::list<std::weak_ptr<Link>> links;
    std::atomic<std::uint64_t> forwardedBytes = 0;
    bool isCut = false;
    bool holdsRequests = false;
    bool holdsAnswers = false;
    std::thread thread;
};

Relay::Relay(const http::Endpoint &target)
    : m_state(std::make_shared<State>(target))
{
    net::co_spawn(m_state->context, m_state->accept(), net::detached);
    m_state->thread = std::thread([state = m_state.get()] { state->context.run(); });
}

Relay::~Relay()
{
    m_state->context.stop();
    m_state->thread.join();
}

http::Endpoint Relay::endpoint() const
{
    return {"127.0.0.1", m_state->acceptor.local_endpoint().port()};
}

void Relay::setTarget(const http::Endpoint &target)
{
    m_state->command([&] { m_state->target = tcp::endpoint(net::ip::make_address(target.address), target.port); });
}

std::uint64_t Relay::forwardedBytes() const
{
    return m_state->forwardedBytes;
}

void Relay::cut()
{
    m_state->command([this] {
        m_state->isCut = true;
        m_state->closeAll();
    });
}

void Relay::heal()
{
    m_state->command([this] {
        m_state->isCut = false;
        m_state->holdsRequests = false;
        m_state->holdsAnswers = false;
    });
}

void Relay::hold()
{
    m_state->command([this] {
        m_state->holdsRequests = true;
        m_state->holdsAnswers = true;
    });
}

void Relay::holdAnswers()
{
    m_state->command([this] { m_state->holdsAnswers = true; });
}

void Relay::resume()
{
    m_state->command([this] {
        m_state->holdsRequests = false;
        m_state->holdsAnswers = false;
    });
}

}
