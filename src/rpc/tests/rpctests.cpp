#include "rpc/ipeerrpc.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::rpc;
namespace net = boost::asio;

namespace {

/// A peer server and a peer client on one thread, whose clocks differ by 899,900 ms.
class ClientAndServer
{
public:
    explicit ClientAndServer(const std::string &clientToken)
        : m_server(makePeerServer(m_context.get_executor(), "secret", m_serverClock))
        , m_client(makePeerClient(clientToken, m_clientClock))
    {
        m_server->add("double", [](const Json::Value &params) -> std::optional<Json::Value> {
            if (!params["number"].isInt()) {
                return std::nullopt;
            }
            Json::Value result;
            result["number"] = params["number"].asInt() * 2;
            return result;
        });
        std::string reason;
        m_listener = http::makeHttpServer(
            m_context,
            {"127.0.0.1", 0},
            {},
            [this](http::Request request, http::IResponseWriter &writer) { return m_server->handle(std::move(request), writer); },
            reason);
        REQUIRE(m_listener != nullptr);
    }

    std::optional<Json::Value> call(const std::string &method, const Json::Value &params, RpcFailure &failure)
    {
        std::optional<Json::Value> result;
        const auto run = [&]() -> net::awaitable<void> {
            result = co_await m_client->call(m_listener->endpoint(), method, params, std::chrono::seconds(60), failure);
            m_context.stop();
        };
        net::co_spawn(m_context, run, net::detached);
        m_context.run();
        return result;
    }

    timeline::Stamp clientNow()
    {
        return m_clientClock->now();
    }

private:
    net::io_context m_context{1};
    std::shared_ptr<timeline::IHybridClock> m_serverClock = timeline::makeHybridClock([] { return std::int64_t{900'000}; });
    std::shared_ptr<timeline::IHybridClock> m_clientClock = timeline::makeHybridClock([] { return std::int64_t{100}; });
    std::unique_ptr<IPeerServer> m_server;
    std::shared_ptr<IPeerClient> m_client;
    std::unique_ptr<http::IHttpServer> m_listener;
};

}

SCENARIO("A peer client calls a method of a peer server")
{
    RpcFailure failure;
    Json::Value params;
    params["number"] = 21;
    GIVEN("a client with the server's token")
    {
        ClientAndServer pair("secret");
        WHEN("the client calls a method")
        {
            const std::optional<Json::Value> result = pair.call("double", params, failure);
            THEN("the call returns the result, and the client's clock advances to the server's")
            {
                REQUIRE(result);
                CHECK((*result)["number"] == 42);
                CHECK(pair.clientNow().wallMs >= 900'000);
            }
        }
        WHEN("the client calls a method with malformed parameters or an unknown method, which is refused")
        {
            params["number"] = "x";
            CHECK_FALSE(pair.call(GENERATE("double", "nothing"), params, failure));
            CHECK(failure.error == RpcError::Refused);
        }
    }
    GIVEN("a client with a wrong token, whose call is refused")
    {
        ClientAndServer pair("guess");
        CHECK_FALSE(pair.call("double", params, failure));
        CHECK(failure.error == RpcError::Refused);
    }
}
