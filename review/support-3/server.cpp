#include "server.h"

#include <boost/beast/core.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace rosemaryshift::review {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using net::ip::tcp;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);
/// Interval at which a server writes its entry.
constexpr milliseconds Heartbeat{1'200};
/// Events of a stream and the time between two, as in a plan of the users' sheet.
constexpr int Events = 76;
constexpr milliseconds EventPause{25};
/// Time for which a model server reads a prompt before it begins its answer.
constexpr milliseconds ReadTime{60};
constexpr std::string_view StreamFields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
constexpr std::size_t BodyBytes = 800;
constexpr std::string_view DeadlyPart = "dead0001:";

std::string identified(std::string_view status, const std::string &attempt)
{
    return "HTTP/1.1 " + std::string(status) + "\r\nX-Rosemaryshift-Attempt-Id: " + attempt + "\r\n";
}

}

Record::Record(const std::string &file)
    : m_file(file)
    , m_start(Clock::now())
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << now().count() << ' ' << line << '\n';
}

void Record::writeResult(const std::string &line)
{
    write("RESULT " + line);
    std::puts(line.c_str());
}

milliseconds Record::now() const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start);
}

Server::Server(
    net::io_context &context, adapter::testing::StandinPlatform &platform, Record &record, Seen &seen, const Plan &plan, int index, std::string version)
    : m_context(context)
    , m_platform(platform)
    , m_record(record)
    , m_seen(seen)
    , m_plan(plan)
    , m_version(std::move(version))
    , m_id("server-" + m_version + "-" + std::to_string(index))
    , m_acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
    , m_endpoint(m_acceptor.local_endpoint())
    , m_slotFreed(context, Clock::time_point::max())
{
    begin();
    net::co_spawn(m_context, beat(), net::detached);
}

void Server::begin()
{
    m_start = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    net::co_spawn(m_context, accept(), net::detached);
    writeEntry();
}

void Server::stop()
{
    m_start = 0;
    m_running = 0;
    m_acceptor.close();
    for (const Socket &socket : m_open) {
        boost::system::error_code ignored;
        socket->close(ignored);
    }
    m_platform.put("keyed.servers", m_id, std::nullopt);
    m_record.write(m_id + " has stopped");
}

void Server::writeEntry()
{
    std::ostringstream entry;
    entry << R"({"service":")" << m_plan.service << R"(","address":"127.0.0.1:)" << m_endpoint.port() << R"(","zone":"zone-a","version":")" << m_version
          << R"(","slots":)" << m_plan.slots << R"(,"state":"ready","warmup_left_ms":0,"sequence":)" << ++m_sequence << R"(,"born":)" << m_start << "}";
    m_platform.put("keyed.servers", m_id, entry.str());
}

net::awaitable<void> Server::beat()
{
    while (true) {
        co_await pause(Heartbeat);
        if (m_start > 0) {
            writeEntry();
        }
    }
}

net::awaitable<void> Server::accept()
{
    while (true) {
        auto [error, accepted] = co_await m_acceptor.async_accept(Token);
        if (error) {
            co_return;
        }
        const Socket socket = std::make_shared<tcp::socket>(std::move(accepted));
        boost::system::error_code ignored;
        socket->set_option(tcp::no_delay(true), ignored);
        m_open.insert(socket);
        net::co_spawn(m_context, serve(socket), [this, socket](const std::exception_ptr &) { m_open.erase(socket); });
    }
}

net::awaitable<void> Server::fall(std::string cause)
{
    if (m_start == 0) {
        co_return;
    }
    m_start = 0;
    const int interrupted = std::exchange(m_running, 0);
    m_seen.interrupted += interrupted;
    m_seen.falls[cause].push_back(m_record.now());
    m_record.write(m_id + " falls: " + cause + ", " + std::to_string(interrupted) + " sound requests in progress");
    m_refusals.clear();
    m_slotFreed.cancel();
    m_acceptor.close();
    for (const Socket &socket : m_open) {
        boost::system::error_code ignored;
        socket->close(ignored);
    }
    co_await pause(m_plan.down);
    m_acceptor.open(m_endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_acceptor.listen();
    m_record.write(m_id + " is back");
    begin();
}

net::awaitable<void> Server::serve(Socket socket)
{
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        Request request;
        const auto [error, bytes] = co_await bhttp::async_read(*socket, buffer, request, Token);
        if (error) {
            co_return;
        }
        open = co_await handle(socket, std::move(request));
    }
}

net::awaitable<bool> Server::handle(Socket socket, Request request)
{
    const long start = m_start;
    const std::string attempt(request["X-Rosemaryshift-Attempt-Id"]);
    bool open = true;
    if (request["X-Rosemaryshift-Expect-Instance"] != m_id) {
        open = co_await send(socket, identified("421 Misdirected Request", attempt) + "X-Rosemaryshift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        co_return open;
    }
    const std::string deadly = deadlyKind(request);
    if (!deadly.empty()) {
        m_seen.deadlyArrivals[deadly].push_back(m_record.now());
        m_record.write(m_id + " runs " + attempt + ", " + deadly);
        co_await pause(m_plan.stream ? ReadTime : m_plan.work);
        if (m_plan.stream) {
            co_await send(socket, head(attempt, StreamFields));
        }
        co_await fall(deadly);
        co_return false;
    }
    if (!m_plan.stream && m_running >= m_plan.slots && m_waiting >= queue()) {
        open = co_await refuse(socket, attempt);
        co_return open;
    }
    while (!m_plan.stream && m_running >= m_plan.slots) {
        ++m_waiting;
        co_await m_slotFreed.async_wait(Token);
        --m_waiting;
        if (start != m_start) {
            co_return false;
        }
    }
    ++m_running;
    m_record.write(m_id + " runs " + attempt);
    if (m_seen.orderedAt.count() > 0) {
        m_seen.arrivals.emplace_back(m_record.now(), m_version != "v1");
    }
    const std::string last(request["Last-Event-Id"]);
    const bool isMain = request.target().starts_with(m_plan.path);
    const bool bad = m_version != "v1" && isMain && std::uniform_real_distribution<double>(0, 1)(m_random) < m_plan.badPart;
    open = bad ? co_await fail(socket, attempt) : co_await answer(socket, attempt, last.empty() ? 1 : std::atoi(last.c_str()) + 1);
    if (start != m_start) {
        co_return false; // The server fell meanwhile.
    }
    --m_running;
    m_slotFreed.cancel_one();
    co_return open;
}

net::awaitable<bool> Server::fail(Socket socket, std::string attempt)
{
    co_await pause(m_plan.work);
    m_seen.badAnswers.push_back(m_record.now());
    m_record.write(m_id + " fails " + attempt);
    const bool open = co_await send(socket,
                                    identified("500 Internal Server Error", attempt) + "X-Rosemaryshift-Response-Seal: seal-of-" + attempt + "\r\n"
                                        + statements() + "Content-Length: 0\r\n\r\n");
    co_return open;
}

net::awaitable<bool> Server::refuse(Socket socket, std::string attempt)
{
    const milliseconds now = m_record.now();
    std::erase_if(m_refusals, [now](milliseconds at) { return now - at >= milliseconds(1'000); });
    m_refusals.push_back(now);
    ++m_seen.refusedByServers;
    m_record.write(m_id + " refuses " + attempt + " for want of room, number " + std::to_string(m_refusals.size()) + " within a second");
    if (isBrittle() && m_refusals.size() > m_plan.tolerated) {
        co_await fall("brittle");
        co_return false;
    }
    const bool open = co_await send(
        socket, identified("503 Service Unavailable", attempt) + "X-Rosemaryshift-Not-Executed: 1\r\n" + statements() + "Content-Length: 0\r\n\r\n");
    co_return open;
}

net::awaitable<bool> Server::answer(Socket socket, std::string attempt, int firstEvent)
{
    bool open = true;
    if (!m_plan.stream) {
        co_await pause(m_plan.work);
        open = co_await send(socket, head(attempt, "Content-Length: " + std::to_string(BodyBytes) + "\r\n") + std::string(BodyBytes, 'b'));
        co_return open;
    }
    co_await pause(ReadTime);
    open = co_await send(socket, head(attempt, StreamFields));
    for (int number = firstEvent; open && number <= Events; ++number) {
        const std::string event = "id: " + std::to_string(number) + "\ndata: words\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        open = co_await send(socket, chunk.str());
        co_await pause(EventPause);
    }
    if (open) {
        open = co_await send(socket, "0\r\n\r\n");
    }
    co_return open;
}

net::awaitable<bool> Server::send(Socket socket, std::string text)
{
    const auto [error, bytes] = co_await net::async_write(*socket, net::buffer(text), Token);
    co_return !error;
}

net::awaitable<void> Server::pause(milliseconds time)
{
    net::steady_timer timer(m_context, time);
    co_await timer.async_wait(Token);
}

std::string Server::head(const std::string &attempt, std::string_view fields) const
{
    return identified("200 OK", attempt) + "X-Rosemaryshift-Response-Seal: seal-of-" + attempt + "\r\n" + statements() + std::string(fields) + "\r\n";
}

std::string Server::statements() const
{
    std::string text
        = "X-Rosemaryshift-Server-Load: " + std::to_string(m_running) + "," + std::to_string(m_waiting) + "," + std::to_string(m_plan.slots) + "\r\n";
    if (isBrittle()) {
        text += "Server-Brittle: " + std::to_string(m_plan.tolerated) + "\r\n";
    }
    return text;
}

bool Server::isBrittle() const
{
    return m_plan.tolerated > 0 && m_record.now() >= CalmTime;
}

int Server::queue() const
{
    return isBrittle() && m_record.now() >= CalmTime + ContactTime ? m_plan.brittleQueue : m_plan.queue;
}

std::string Server::deadlyKind(const Request &request) const
{
    if (m_plan.stream) {
        return request["X-Rosemaryshift-Prompt-Prefix"].find(DeadlyPart) != beast::string_view::npos ? "deadly part" : std::string();
    }
    const std::string &body = request.body();
    return body.starts_with("deadly") ? body : std::string();
}

}
