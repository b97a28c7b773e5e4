#include "http/tests/polledserver.h"

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

namespace rosemaryshift::http::testing {

namespace net = boost::asio;

class PolledServer::Observer : public IServerObserver
{
public:
    void onUnanswered(const UnansweredRequest &request) override
    {
        m_reports.push_back({request.cause, std::string(request.detail), std::string(request.id), request.received, request.answerBegun, request.bytesRead});
    }

    [[nodiscard]] const std::vector<ReportedRequest> &reports() const
    {
        return m_reports;
    }

private:
    std::vector<ReportedRequest> m_reports;
};

PolledServer::PolledServer(const ServerLimits &limits, RequestHandler handler)
    : m_timer(m_context)
    , m_observer(std::make_shared<Observer>())
{
    std::string reason;
    m_server = makeHttpServer(m_context, {"127.0.0.1", 0}, limits, std::move(handler), reason, m_observer);
    REQUIRE(m_server != nullptr);
}

PolledServer::~PolledServer() = default;

net::ip::tcp::socket PolledServer::connect()
{
    net::ip::tcp::socket caller(m_callerContext);
    caller.connect({net::ip::make_address("127.0.0.1"), m_server->endpoint().port});
    caller.set_option(net::ip::tcp::no_delay(true));
    caller.non_blocking(true);
    return caller;
}

void PolledServer::poll()
{
    m_context.restart();
    m_context.poll();
}

bool PolledServer::pollUntil(const std::function<bool()> &condition)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        m_context.restart();
        m_context.run_one_for(std::chrono::milliseconds(1));
    }
    return true;
}

std::string PolledServer::receive(net::ip::tcp::socket &caller, std::string_view text)
{
    std::string received;
    boost::system::error_code error;
    pollUntil([&] {
        char bytes[4096];
        const std::size_t count = caller.read_some(net::buffer(bytes), error);
        received.append(bytes, count);
        return (error && error != net::error::would_block) || (!text.empty() && received.find(text) != std::string::npos);
    });
    return received;
}

void PolledServer::runBeforeTimers(std::chrono::milliseconds time, std::function<void()> action)
{
    m_timer.expires_after(time);
    m_timer.async_wait([action = std::move(action)](boost::system::error_code error) {
        if (!error) {
            action();
        }
    });
}

IHttpServer &PolledServer::server()
{
    return *m_server;
}

net::io_context &PolledServer::context()
{
    return m_context;
}

const std::vector<ReportedRequest> &PolledServer::reports() const
{
    return m_observer->reports();
}

void send(net::ip::tcp::socket &caller, std::string_view bytes)
{
    boost::system::error_code ignored;
    net::write(caller, net::buffer(bytes), ignored);
}

}
