#include "support/wire.h"

#include "http/ihttpclient.h"
#include "support/process.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace rosemaryshift::testing {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds ConditionPoll{5};

http::ClientTimeouts generousTimeouts()
{
    return {WaitLimit, WaitLimit, WaitLimit};
}

std::optional<http::Response> fetchNow(const http::Endpoint &endpoint, const http::Request &request, http::ClientFailure &failure)
{
    net::io_context context(1);
    std::optional<http::Response> response;
    const auto run = [&]() -> net::awaitable<void> { response = co_await http::fetch(endpoint, request, generousTimeouts(), failure); };
    net::co_spawn(context, run, net::detached);
    context.run();
    return response;
}

}

std::optional<http::Response> tryExchange(const http::Endpoint &endpoint, const http::Request &request)
{
    http::ClientFailure failure;
    return fetchNow(endpoint, request, failure);
}

http::Response exchange(const http::Endpoint &endpoint, const http::Request &request)
{
    http::ClientFailure failure;
    const std::optional<http::Response> response = fetchNow(endpoint, request, failure);
    INFO(request.method << " " << request.target << " at " << endpoint.text() << ": " << failure.detail);
    REQUIRE(response);
    return *response;
}

http::Request makeRequest(const std::string &method, const std::string &target, const std::string &body)
{
    http::Request request;
    request.method = method;
    request.target = target;
    request.body = body;
    return request;
}

struct PendingExchange::State {
    net::io_context context{1};
    std::shared_ptr<http::IExchange> exchange;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<http::Response> response;
    bool broken = false;
    bool ended = false;
    std::thread thread;

    net::awaitable<void> run(http::Endpoint endpoint, http::Request request)
    {
        http::ClientFailure failure;
        std::optional<http::Response> head = co_await exchange->open(endpoint, std::move(request), generousTimeouts(), failure);
        bool whole = false;
        update([&] { response = head; });
        while (head && !whole) {
            const std::optional<std::string> piece = co_await exchange->readSome(failure);
            if (!piece) {
                break;
            }
            whole = piece->empty();
            update([&] { response->body += *piece; });
        }
        update([&] {
            broken = !whole;
            ended = true;
        });
    }

    void update(const std::function<void()> &change)
    {
        const std::lock_guard lock(mutex);
        change();
        changed.notify_all();
    }
};

PendingExchange::PendingExchange(const http::Endpoint &endpoint, http::Request request)
    : m_state(std::make_shared<State>())
{
    m_state->exchange = http::makeExchange(m_state->context.get_executor());
    net::co_spawn(m_state->context, m_state->run(endpoint, std::move(request)), net::detached);
    m_state->thread = std::thread([state = m_state] { state->context.run(); });
}

PendingExchange::~PendingExchange()
{
    abandon();
    m_state->thread.join();
}

void PendingExchange::abandon()
{
    m_state->exchange->cancel();
}

void PendingExchange::awaitText(const std::string &text)
{
    std::unique_lock lock(m_state->mutex);
    const auto holds = [&] { return m_state->response && m_state->response->body.find(text) != std::string::npos; };
    const bool there = m_state->changed.wait_for(lock, WaitLimit, [&] { return m_state->ended || holds(); });
    INFO("waiting for: " << text << "; received so far: " << (m_state->response ? m_state->response->body : "nothing"));
    REQUIRE(there);
    REQUIRE(holds());
}

std::string PendingExchange::bodySoFar() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->response ? m_state->response->body : std::string();
}

std::optional<http::Response> PendingExchange::awaitEnd()
{
    std::unique_lock lock(m_state->mutex);
    REQUIRE(m_state->changed.wait_for(lock, WaitLimit, [&] { return m_state->ended; }));
    return m_state->broken ? std::nullopt : m_state->response;
}

void awaitCondition(const std::string &what, const std::function<bool()> &condition, const std::function<std::string()> &state)
{
    const std::chrono::steady_clock::time_point giveUp = std::chrono::steady_clock::now() + WaitLimit;
    while (!condition()) {
        INFO("waiting for: " << what);
        const bool late = std::chrono::steady_clock::now() >= giveUp;
        INFO((late && state ? state() : std::string()));
        REQUIRE(!late);
        std::this_thread::sleep_for(ConditionPoll);
    }
}

}
