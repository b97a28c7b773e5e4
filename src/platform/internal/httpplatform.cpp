#include "platform/iplatform.h"

#include "base/json.h"
#include "http/ihttpclient.h"

namespace rosemaryshift::platform {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds AnswerTimeout{3'000};
constexpr int StatusOk = 200;
constexpr int MinServerErrorStatus = 500;

PlatformFailure platformFailureFrom(const http::ClientFailure &failure)
{
    if (failure.error == http::ClientError::ConnectFailed) {
        return {PlatformError::Unreachable, failure.detail};
    }
    return {PlatformError::AnswerLost, failure.detail};
}

http::ClientTimeouts timeoutsFor(std::chrono::milliseconds wait)
{
    http::ClientTimeouts timeouts;
    timeouts.header = wait + AnswerTimeout;
    timeouts.body = AnswerTimeout;
    return timeouts;
}

net::awaitable<std::optional<std::string>> call(http::Endpoint endpoint, http::Request request, std::chrono::milliseconds wait, PlatformFailure &failure)
{
    http::ClientFailure clientFailure;
    std::optional<http::Response> response = co_await http::fetch(endpoint, std::move(request), timeoutsFor(wait), clientFailure);
    if (!response) {
        failure = platformFailureFrom(clientFailure);
        co_return std::nullopt;
    }
    if (response->status >= MinServerErrorStatus) {
        // An intermediary may have failed after the platform carried out the call, so the call may have taken effect.
        failure = {PlatformError::AnswerLost, "the platform answered " + std::to_string(response->status)};
        co_return std::nullopt;
    }
    if (response->status != StatusOk) {
        failure = {PlatformError::Unreachable, "the platform answered " + std::to_string(response->status)};
        co_return std::nullopt;
    }
    co_return std::move(response->body);
}

http::Request getRequest(std::string target)
{
    http::Request request;
    request.target = std::move(target);
    return request;
}

class HttpLog : public ILog
{
public:
    explicit HttpLog(const http::Endpoint &endpoint)
        : m_endpoint(endpoint)
    {
    }

    net::awaitable<std::optional<std::uint64_t>> append(std::vector<std::string> records, PlatformFailure &failure) override
    {
        Json::Value object;
        object["records"] = Json::Value(Json::arrayValue);
        for (const std::string &record : records) {
            object["records"].append(record);
        }
        http::Request request;
        request.method = "POST";
        request.target = "/v1/log";
        request.body = toText(object);
        const std::optional<std::string> body = co_await call(m_endpoint, std::move(request), {}, failure);
        if (!body) {
            co_return std::nullopt;
        }
        std::string reason;
        const std::optional<Json::Value> answer = parseJson(*body, reason);
        const std::optional<std::uint64_t> first = answer ? unsignedMember(*answer, "first") : std::nullopt;
        if (!first) {
            failure = {PlatformError::AnswerLost, "the log's answer names no offset"};
        }
        co_return first;
    }

    net::awaitable<std::optional<LogPage>> read(std::uint64_t from, std::chrono::milliseconds wait, PlatformFailure &failure) override
    {
        http::Request request = getRequest("/v1/log?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(wait.count()));
        const std::optional<std::string> body = co_await call(m_endpoint, std::move(request), wait, failure);
        if (!body) {
            co_return std::nullopt;
        }
        std::optional<LogPage> page = logPageFromJson(*body);
        if (!page) {
            failure = {PlatformError::Malformed, "the log's page cannot be read"};
        }
        co_return page;
    }

private:
    const http::Endpoint m_endpoint;
};

class HttpHostDirectory : public IHostDirectory
{
public:
    explicit HttpHostDirectory(const http::Endpoint &endpoint)
        : m_endpoint(endpoint)
    {
    }

    net::awaitable<std::optional<HostList>> list(std::uint64_t known, std::chrono::milliseconds wait, PlatformFailure &failure) override
    {
        http::Request request = getRequest("/v1/hosts?known=" + std::to_string(known) + "&wait_ms=" + std::to_string(wait.count()));
        const std::optional<std::string> body = co_await call(m_endpoint, std::move(request), wait, failure);
        if (!body) {
            co_return std::nullopt;
        }
        std::optional<HostList> list = hostListFromJson(*body);
        if (!list) {
            failure = {PlatformError::Malformed, "the host list cannot be read"};
        }
        co_return list;
    }

private:
    const http::Endpoint m_endpoint;
};

class HttpReclaimNotices : public IReclaimNotices
{
public:
    explicit HttpReclaimNotices(const http::Endpoint &endpoint)
        : m_endpoint(endpoint)
    {
    }

    net::awaitable<std::optional<std::vector<std::chrono::milliseconds>>>
    notices(std::string host, std::chrono::milliseconds wait, PlatformFailure &failure) override
    {
        http::Request request = getRequest("/v1/notices?host=" + host + "&wait_ms=" + std::to_string(wait.count()));
        const std::optional<std::string> body = co_await call(m_endpoint, std::move(request), wait, failure);
        if (!body) {
            co_return std::nullopt;
        }
        std::string reason;
        const std::optional<Json::Value> object = parseJson(*body, reason);
        if (!object || !object->isObject()) {
            failure = {PlatformError::Malformed, "the notices cannot be read"};
            co_return std::nullopt;
        }
        std::vector<std::chrono::milliseconds> found;
        const std::optional<std::uint64_t> reclaimIn = unsignedMember(*object, "reclaim_in_ms");
        if (reclaimIn) {
            found.emplace_back(*reclaimIn);
        }
        co_return found;
    }

private:
    const http::Endpoint m_endpoint;
};

}

std::shared_ptr<ILog> makeHttpLog(const http::Endpoint &endpoint)
{
    return std::make_shared<HttpLog>(endpoint);
}

std::shared_ptr<IHostDirectory> makeHttpHostDirectory(const http::Endpoint &endpoint)
{
    return std::make_shared<HttpHostDirectory>(endpoint);
}

std::shared_ptr<IReclaimNotices> makeHttpReclaimNotices(const http::Endpoint &endpoint)
{
    return std::make_shared<HttpReclaimNotices>(endpoint);
}

}
