#include "http/internal/connection.h"

#include <exception>
#include <limits>
#include <mutex>
#include <vector>

namespace rosemaryshift::http {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

/// Maximum number of waiting connections that are accepted in one turn of the event loop.
constexpr int MaxAcceptedAtOnce = 64;
/// Delay before accepting again after a failed accept.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

class HttpServer : public IHttpServer, public std::enable_shared_from_this<HttpServer>
{
public:
    HttpServer(net::io_context &context, const ServerLimits &limits, RequestHandler handler, std::shared_ptr<IServerObserver> observer)
        : m_context(context)
        , m_acceptor(net::make_strand(context))
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_observer(std::move(observer))
    {
    }

    bool listen(const Endpoint &endpoint, std::string &reason)
    {
        boost::system::error_code error;
        const net::ip::address address = net::ip::make_address(endpoint.address, error);
        if (error) {
            reason = endpoint.address + " is not an IP address";
            return false;
        }
        const tcp::endpoint listenEndpoint(address, endpoint.port);
        m_acceptor.open(listenEndpoint.protocol(), error);
        if (!error) {
            m_acceptor.set_option(net::socket_base::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor.bind(listenEndpoint, error);
        }
        if (!error) {
            m_acceptor.listen(net::socket_base::max_listen_connections, error);
        }
        if (!error) {
            m_acceptor.non_blocking(true, error);
        }
        if (error) {
            reason = "cannot listen on " + endpoint.text() + ": " + error.message();
            return false;
        }
        m_endpoint = {endpoint.address, m_acceptor.local_endpoint().port()};
        net::co_spawn(
            m_acceptor.get_executor(),
            [self = shared_from_this()] { return self->acceptLoop(); },
            [](const std::exception_ptr &exception) {
                if (exception) {
                    std::rethrow_exception(exception);
                }
            });
        return true;
    }

    [[nodiscard]] Endpoint endpoint() const override
    {
        return m_endpoint;
    }

    void stopAccepting() override
    {
        m_state.closing = true;
        m_state.stopping = true;
        net::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            // Closing the socket would reset the connections that are pending.
            self->acceptPending(std::numeric_limits<int>::max());
            self->m_acceptor.close();
        });
        for (const std::shared_ptr<Connection> &connection : liveConnections()) {
            connection->closeIfIdle();
        }
    }

    void announceClose() override
    {
        m_state.closing = true;
    }

    void setLimits(const ServerLimits &limits) override
    {
        m_limits = limits;
    }

    [[nodiscard]] std::size_t connections() const override
    {
        return m_openCount;
    }

private:
    net::awaitable<void> acceptLoop()
    {
        while (!m_state.stopping) {
            auto [error, socket] = co_await m_acceptor.async_accept(net::make_strand(m_context), net::as_tuple(net::use_awaitable));
            if (error == net::error::operation_aborted) {
                co_return;
            }
            if (error) {
                net::steady_timer delay(m_acceptor.get_executor(), AcceptRetryDelay);
                co_await delay.async_wait(net::as_tuple(net::use_awaitable));
                continue;
            }
            start(std::move(socket));
            // Otherwise callers would wait unseen in the queue of the listening socket, for a turn of the event loop each.
            acceptPending(MaxAcceptedAtOnce - 1);
        }
    }

    /// Accepts up to @p most of the connections that are pending on the listening socket.
    void acceptPending(int most)
    {
        boost::system::error_code error;
        for (int accepted = 0; !error && accepted < most; ++accepted) {
            tcp::socket socket(net::make_strand(m_context));
            m_acceptor.accept(socket, error);
            if (!error) {
                start(std::move(socket));
            }
        }
    }

    void start(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const net::any_io_executor executor = socket.get_executor();
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>(std::move(socket), m_limits, m_handler, m_state, m_observer);
        remember(connection);
        ++m_openCount;
        net::co_spawn(
            executor, [connection] { return connection->run(); }, [self = shared_from_this()](const std::exception_ptr &) { --self->m_openCount; });
    }

    void remember(const std::shared_ptr<Connection> &connection)
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [](const std::weak_ptr<Connection> &known) { return known.expired(); });
        m_connections.push_back(connection);
    }

    std::vector<std::shared_ptr<Connection>> liveConnections()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::shared_ptr<Connection>> live;
        for (const std::weak_ptr<Connection> &known : m_connections) {
            if (std::shared_ptr<Connection> connection = known.lock()) {
                live.push_back(std::move(connection));
            }
        }
        return live;
    }

    net::io_context &m_context;
    tcp::acceptor m_acceptor;
    ServerLimits m_limits;
    const RequestHandler m_handler;
    const std::shared_ptr<IServerObserver> m_observer;
    Endpoint m_endpoint;
    ServerState m_state;
    std::atomic<std::size_t> m_openCount = 0;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

/// Owner's handle of a server. Its destructor stops accepting, while running connections keep the server alive.
class ServerHandle : public IHttpServer
{
public:
    explicit ServerHandle(std::shared_ptr<HttpServer> server)
        : m_server(std::move(server))
    {
    }

    ~ServerHandle() override
    {
        m_server->stopAccepting();
    }

    [[nodiscard]] Endpoint endpoint() const override
    {
        return m_server->endpoint();
    }

    void stopAccepting() override
    {
        m_server->stopAccepting();
    }

    void announceClose() override
    {
        m_server->announceClose();
    }

    void setLimits(const ServerLimits &limits) override
    {
        m_server->setLimits(limits);
    }

    [[nodiscard]] std::size_t connections() const override
    {
        return m_server->connections();
    }

private:
    std::shared_ptr<HttpServer> m_server;
};

}

std::unique_ptr<IHttpServer> makeHttpServer(net::io_context &context,
                                            const Endpoint &endpoint,
                                            const ServerLimits &limits,
                                            RequestHandler handler,
                                            std::string &reason,
                                            std::shared_ptr<IServerObserver> observer)
{
    const std::shared_ptr<HttpServer> server = std::make_shared<HttpServer>(context, limits, std::move(handler), std::move(observer));
    if (!server->listen(endpoint, reason)) {
        return nullptr;
    }
    return std::make_unique<ServerHandle>(server);
}

}
