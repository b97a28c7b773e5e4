#include "http/ihttpclient.h"

#include <boost/asio.hpp>

namespace rosemaryshift::http {

namespace net = boost::asio;

namespace {

/// Largest accepted body of an answer that is read completely.
constexpr std::size_t MaxFetchedBytes = 8 * 1024 * 1024;

}

net::awaitable<std::optional<Response>> IExchange::open(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure)
{
    RequestSource source = [request = std::move(request)]() mutable { return std::optional<Request>(std::move(request)); };
    return open(endpoint, std::move(source), timeouts, failure);
}

net::awaitable<std::optional<Response>> fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure)
{
    // A named variable, since GCC 12 destroys a temporary of this type twice when it is passed to a coroutine.
    const std::shared_ptr<ConnectionPool> noPool;
    std::optional<Response> response = co_await fetch(endpoint, std::move(request), timeouts, failure, noPool);
    co_return response;
}

net::awaitable<std::optional<Response>>
fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure, std::shared_ptr<ConnectionPool> pool)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    const std::shared_ptr<IExchange> exchange = makeExchange(executor, std::move(pool));
    std::optional<Response> response = co_await exchange->open(endpoint, std::move(request), timeouts, failure);
    if (!response) {
        co_return std::nullopt;
    }
    while (true) {
        const std::optional<std::string> piece = co_await exchange->readSome(failure);
        if (!piece) {
            co_return std::nullopt;
        }
        if (piece->empty()) {
            co_return response;
        }
        if (response->body.size() + piece->size() > MaxFetchedBytes) {
            failure = {ClientError::Malformed, "the answer is too large"};
            exchange->cancel();
            co_return std::nullopt;
        }
        response->body += *piece;
    }
}

}
