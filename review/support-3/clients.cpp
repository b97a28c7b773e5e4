#include "clients.h"

#include <boost/beast/core.hpp>

#include <sstream>
#include <tuple>
#include <utility>

namespace rosemaryshift::review {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using net::ip::tcp;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);
/// Number of different second parts of sound prompts.
constexpr int Subjects = 20;

}

Clients::Clients(net::io_context &context, Record &record, Seen &seen, const Plan &plan, std::vector<tcp::endpoint> gateways)
    : m_context(context)
    , m_record(record)
    , m_seen(seen)
    , m_plan(plan)
    , m_gateways(std::move(gateways))
{
}

net::awaitable<void> Clients::sendSound(Clock::time_point until)
{
    net::steady_timer timer(m_context, Clock::now());
    while (Clock::now() < until) {
        timer.expires_at(timer.expiry() + gap(m_plan.soundPerSecond));
        net::co_spawn(m_context, call(m_plan.path, 0), net::detached);
        co_await timer.async_wait(Token);
    }
}

net::awaitable<void> Clients::sendLookups(Clock::time_point until)
{
    net::steady_timer timer(m_context, Clock::now());
    while (Clock::now() < until) {
        timer.expires_at(timer.expiry() + gap(m_plan.lookupsPerSecond));
        net::co_spawn(m_context, call(std::string(LookupPath), 0), net::detached);
        co_await timer.async_wait(Token);
    }
}

Clock::duration Clients::gap(double perSecond)
{
    const double seconds = m_plan.clumped ? std::exponential_distribution<double>(perSecond)(m_random) : 1 / perSecond;
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

net::awaitable<void> Clients::sendDeadly(Clock::time_point until)
{
    net::steady_timer timer(m_context, CalmTime);
    co_await timer.async_wait(Token);
    for (int sent = 0; Clock::now() < until; ++sent) {
        timer.expires_at(timer.expiry() + m_plan.deadlyPause);
        net::co_spawn(m_context, call(m_plan.path, sent % m_plan.deadlyKinds + 1), net::detached);
        co_await timer.async_wait(Token);
    }
}

Clients::Request Clients::request(const std::string &path, const std::string &attempt, int deadly) const
{
    Request request(bhttp::verb::post, path + "x", 11);
    request.set(bhttp::field::host, "users.example");
    request.set("X-Rosemaryshift-Attempt-Id", attempt);
    request.set("X-Rosemaryshift-Deadline-Ms", m_plan.stream ? "15000" : "1000");
    request.set("X-Api-Key", "key-1");
    if (m_plan.stream) {
        // No two requests are alike: the last part is a request's own.
        std::ostringstream parts;
        parts << std::hex << "c0000001:512," << (deadly > 0 ? 0xdead0001U : 0xab000000U + static_cast<unsigned int>(m_sent % Subjects)) << ":4870,"
              << 0xe0000000U + static_cast<unsigned int>(m_sent) << ":1228";
        request.set("X-Rosemaryshift-Model", "m");
        request.set("X-Rosemaryshift-Token-Count", "6610,380");
        request.set("X-Rosemaryshift-Prompt-Prefix", parts.str());
    }
    request.body() = deadly > 0 && !m_plan.stream ? "deadly request " + std::to_string(deadly) : "request " + std::to_string(m_sent);
    request.prepare_payload();
    return request;
}

net::awaitable<void> Clients::call(std::string path, int deadly)
{
    const std::size_t gateway = static_cast<std::size_t>(++m_sent) % m_gateways.size();
    const std::string attempt = (deadly > 0 ? "deadly-" : "sound-") + std::to_string(m_sent);
    const Request message = request(path, attempt, deadly);
    const milliseconds sentAt = m_record.now();
    m_record.write("client sends " + attempt + " to " + path + " at gateway " + std::to_string(gateway));
    tcp::socket socket(m_context);
    beast::flat_buffer buffer;
    bhttp::response_parser<bhttp::string_body> parser;
    auto [error] = co_await socket.async_connect(m_gateways[gateway], Token);
    if (!error) {
        std::tie(error, std::ignore) = co_await bhttp::async_write(socket, message, Token);
    }
    if (!error) {
        std::tie(error, std::ignore) = co_await bhttp::async_read(socket, buffer, parser, Token);
    }
    const int status = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
    const bool whole = !error && status == 200;
    m_record.write("client got for " + attempt + " status " + std::to_string(status) + (whole ? ", whole" : ", not whole")
                   + (status >= 400 ? " " + parser.get().body() : std::string()));
    if (deadly == 0) {
        noteAnswer(status, whole, sentAt);
    }
}

void Clients::noteAnswer(int status, bool whole, milliseconds sentAt)
{
    ++m_seen.sent;
    m_seen.begun.emplace_back(sentAt, status == 200);
    if (whole) {
        ++m_seen.whole;
    } else if (status == 200) {
        ++m_seen.brokenOff;
    } else if (status == 503) {
        ++m_seen.refused;
    } else {
        ++m_seen.failed;
    }
}

}
