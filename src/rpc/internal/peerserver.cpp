#include "base/json.h"
#include "base/text.h"
#include "rpc/internal/rpcheaders.h"
#include "rpc/ipeerrpc.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <jsonrpccpp/server.h>

#include <map>

namespace rosemaryshift::rpc {

namespace net = boost::asio;

namespace {

/// Connects libjsonrpccpp to strings instead of a network: stores the text of a response in the string that OnRequest() was given.
class PeerConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string &response, void *destination) override
    {
        *static_cast<std::string *>(destination) = response;
        return true;
    }
};

http::Response refusal(int status, std::string_view code)
{
    http::Response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = R"({"error":{"code":")" + std::string(code) + R"("}})";
    return response;
}

class PeerServer : public IPeerServer, private jsonrpc::IProcedureInvokationHandler
{
public:
    PeerServer(const net::any_io_executor &control, std::string token, std::shared_ptr<timeline::IHybridClock> clock)
        : m_control(control)
        , m_token(std::move(token))
        , m_clock(std::move(clock))
        , m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        m_connector.SetHandler(m_protocol.get());
    }

    void add(const std::string &method, PeerMethod handler) override
    {
        m_protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        m_methods[method] = std::move(handler);
    }

    net::awaitable<void> handle(http::Request request, http::IResponseWriter &writer) override
    {
        http::Response response;
        const std::string_view field = request.headers.find("Authorization").value_or("");
        if (!field.starts_with(BearerPrefix) || !equalSecrets(field.substr(BearerPrefix.size()), m_token)) {
            response = refusal(401, "invalid_token");
        } else if (request.method != "POST" || request.target != RpcPath) {
            response = refusal(404, "unknown_path");
        } else {
            observeStamp(request);
            response = co_await net::co_spawn(m_control, serve(std::move(request.body)), net::use_awaitable);
        }
        co_await writer.respond(std::move(response));
    }

private:
    /// Runs the method called by @p body, on the control thread.
    net::awaitable<http::Response> serve(std::string body)
    {
        http::Response response;
        response.headers.add("Content-Type", "application/json");
        try {
            m_connector.OnRequest(body, &response.body);
        } catch (const Json::Exception &) {
            co_return refusal(400, "malformed_request");
        }
        response.headers.add(StampHeader, m_clock->now().text());
        co_return response;
    }

    /// Advances the clock by the stamp of @p request, if it has a valid one.
    void observeStamp(const http::Request &request) const
    {
        const std::optional<timeline::Stamp> stamp = timeline::Stamp::parse(request.headers.find(StampHeader).value_or(""));
        if (stamp) {
            m_clock->observe(*stamp);
        }
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        std::optional<Json::Value> result = m_methods.at(procedure.GetProcedureName())(input);
        if (!result) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, "malformed parameters");
        }
        output = std::move(*result);
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override
    {
    }

    const net::any_io_executor m_control;
    const std::string m_token;
    const std::shared_ptr<timeline::IHybridClock> m_clock;
    PeerConnector m_connector;
    const std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    std::map<std::string, PeerMethod> m_methods;
};

}

std::unique_ptr<IPeerServer> makePeerServer(const net::any_io_executor &control, std::string token, std::shared_ptr<timeline::IHybridClock> clock)
{
    return std::make_unique<PeerServer>(control, std::move(token), std::move(clock));
}

}
