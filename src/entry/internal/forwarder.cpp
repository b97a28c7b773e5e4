#include "entry/internal/forwarder.h"

#include "http/ihttpclient.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <array>

namespace rosemaryshift::entry {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1'000};
/// Headers that belong to one connection and are not forwarded.
constexpr std::array<std::string_view, 4> ConnectionHeaders{"Connection", "Content-Length", "Host", "Transfer-Encoding"};

http::Headers endToEndHeaders(const http::Headers &headers)
{
    http::Headers result;
    for (const http::Header &field : headers.all()) {
        http::Headers probe;
        probe.add(field.name, "");
        if (std::ranges::none_of(ConnectionHeaders, [&](std::string_view name) { return probe.find(name).has_value(); })) {
            result.add(field.name, field.value);
        }
    }
    return result;
}

net::awaitable<ForwardResult> relayResponse(std::shared_ptr<http::IExchange> exchange, http::Response head, http::IResponseWriter &writer)
{
    http::Headers headers = endToEndHeaders(head.headers);
    bool open = co_await writer.begin(head.status, std::move(headers));
    while (open) {
        http::ClientFailure failure;
        const std::optional<std::string> chunk = co_await exchange->readSome(failure);
        if (!chunk) {
            writer.abort();
            co_return ForwardResult::Broken;
        }
        if (chunk->empty()) {
            co_await writer.end();
            co_return ForwardResult::Answered;
        }
        open = co_await writer.write(*chunk);
    }
    co_return ForwardResult::Broken;
}

}

bool isForwarded(const http::Request &request)
{
    return request.headers.find(ForwardedHeader).has_value();
}

net::awaitable<ForwardResult>
forward(http::Endpoint callerEndpoint, http::Request request, http::IResponseWriter &writer, std::chrono::milliseconds idleTimeout)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    const std::shared_ptr<http::IExchange> exchange = http::makeExchange(executor);
    request.headers = endToEndHeaders(request.headers);
    request.headers.add(ForwardedHeader, "1");
    writer.onCallerGone([exchange] { exchange->cancel(); });
    const http::ClientTimeouts timeouts{ConnectTimeout, idleTimeout, idleTimeout};
    http::ClientFailure failure;
    std::optional<http::Response> head = co_await exchange->open(callerEndpoint, std::move(request), timeouts, failure);
    if (!head) {
        co_return failure.error == http::ClientError::ConnectFailed ? ForwardResult::NotSent : ForwardResult::AnswerLost;
    }
    co_return co_await relayResponse(exchange, std::move(*head), writer);
}

}
