#include "operators/operatorclient.h"

#include "base/json.h"
#include "http/ihttpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace rosemaryshift::operators {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds AnswerTimeout{20'000};

std::optional<http::Response> fetchBlocking(const http::Endpoint &endpoint, http::Request request, std::string &reason)
{
    net::io_context context(1);
    std::optional<http::Response> response;
    http::ClientFailure failure;
    http::ClientTimeouts timeouts;
    timeouts.header = AnswerTimeout;
    const auto exchange = [&]() -> net::awaitable<void> { response = co_await http::fetch(endpoint, std::move(request), timeouts, failure); };
    net::co_spawn(context, exchange, net::detached);
    context.run();
    if (!response) {
        reason = endpoint.text() + ": " + failure.detail;
    }
    return response;
}

}

std::optional<OperatorAnswer>
callOperator(const OperatorTarget &target, const std::string &method, const std::string &path, const Json::Value &body, std::string &reason)
{
    http::Request request;
    request.method = method;
    request.target = path;
    request.headers.add("Authorization", "Bearer " + target.token);
    if (!body.isNull()) {
        request.headers.add("Content-Type", "application/json");
        request.body = toText(body);
    }
    const std::optional<http::Response> response = fetchBlocking(target.endpoint, std::move(request), reason);
    if (!response) {
        return std::nullopt;
    }
    std::optional<Json::Value> parsed = parseJson(response->body, reason);
    if (!parsed) {
        reason = target.endpoint.text() + ": the answer is not JSON";
        return std::nullopt;
    }
    return OperatorAnswer{response->status, std::move(*parsed)};
}

}
