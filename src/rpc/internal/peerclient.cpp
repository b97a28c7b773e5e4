#include "base/json.h"
#include "http/ihttpclient.h"
#include "rpc/internal/rpcheaders.h"
#include "rpc/ipeerrpc.h"

#include <jsonrpccpp/client/batchcall.h>

namespace rosemaryshift::rpc {

namespace net = boost::asio;

namespace {

constexpr int StatusOk = 200;

RpcFailure rpcFailureOf(const http::ClientFailure &failure)
{
    const RpcError error = failure.error == http::ClientError::ConnectFailed ? RpcError::NotSent : RpcError::NoResponse;
    return {error, failure.detail};
}

/// Result in the response to a JSON-RPC batch of one call. Returns nothing and sets @p failure when there is none.
std::optional<Json::Value> resultOf(const std::string &body, RpcFailure &failure)
{
    std::string reason;
    const std::optional<Json::Value> batch = parseJson(body, reason);
    if (!batch || !batch->isArray() || batch->size() != 1 || !(*batch)[0].isObject()) {
        failure = {RpcError::Malformed, "the answer is not a JSON-RPC batch"};
        return std::nullopt;
    }
    const Json::Value &response = (*batch)[0];
    if (response.isMember("error")) {
        failure = {RpcError::Refused, stringMember(response["error"], "message").value_or("refused")};
        return std::nullopt;
    }
    return response["result"];
}

class PeerClient : public IPeerClient
{
public:
    PeerClient(std::string token, std::shared_ptr<timeline::IHybridClock> clock)
        : m_token(std::move(token))
        , m_clock(std::move(clock))
    {
    }

    net::awaitable<std::optional<Json::Value>>
    call(http::Endpoint peer, std::string method, Json::Value params, std::chrono::milliseconds timeout, RpcFailure &failure) override
    {
        http::Request request = makeRequest(method, params);
        const http::ClientTimeouts timeouts{timeout, timeout, timeout};
        http::ClientFailure clientFailure;
        const std::optional<http::Response> response = co_await http::fetch(peer, std::move(request), timeouts, clientFailure);
        if (!response) {
            failure = rpcFailureOf(clientFailure);
            co_return std::nullopt;
        }
        observeStamp(*response);
        if (response->status != StatusOk) {
            failure = {RpcError::Refused, "the peer answered " + std::to_string(response->status)};
            co_return std::nullopt;
        }
        co_return resultOf(response->body, failure);
    }

private:
    [[nodiscard]] http::Request makeRequest(const std::string &method, const Json::Value &params) const
    {
        jsonrpc::BatchCall batch;
        batch.addCall(method, params);
        http::Request request;
        request.method = "POST";
        request.target = std::string(RpcPath);
        request.headers.add("Content-Type", "application/json");
        request.headers.add("Authorization", std::string(BearerPrefix) + m_token);
        request.headers.add(StampHeader, m_clock->now().text());
        request.body = batch.toString();
        return request;
    }

    /// Advances the clock by the stamp of @p response, if it has a valid one.
    void observeStamp(const http::Response &response) const
    {
        const std::optional<timeline::Stamp> stamp = timeline::Stamp::parse(response.headers.find(StampHeader).value_or(""));
        if (stamp) {
            m_clock->observe(*stamp);
        }
    }

    const std::string m_token;
    const std::shared_ptr<timeline::IHybridClock> m_clock;
};

}

std::shared_ptr<IPeerClient> makePeerClient(std::string token, std::shared_ptr<timeline::IHybridClock> clock)
{
    return std::make_shared<PeerClient>(std::move(token), std::move(clock));
}

}
