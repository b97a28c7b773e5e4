#include "entry/internal/hostlistexchange.h"

#include "platform/iplatform.h"

namespace rosemaryshift::entry {

namespace net = boost::asio;

namespace {

constexpr const char *Method = "hosts";
constexpr std::chrono::milliseconds FetchTimeout{1'000};

}

HostListExchange::HostListExchange(std::shared_ptr<rpc::IPeerClient> client, rpc::IPeerServer &server)
    : m_client(std::move(client))
{
    server.add(Method,
               [this](const Json::Value &) -> std::optional<Json::Value> { return m_list ? Json::Value(platform::hostListText(*m_list)) : Json::Value(); });
}

void HostListExchange::setList(const platform::HostList &list)
{
    m_list = list;
}

net::awaitable<std::optional<platform::HostList>> HostListExchange::fetch(http::Endpoint peer)
{
    rpc::RpcFailure failure;
    const std::optional<Json::Value> answer = co_await m_client->call(peer, Method, Json::Value(Json::objectValue), FetchTimeout, failure);
    if (!answer || !answer->isString()) {
        co_return std::nullopt;
    }
    co_return platform::hostListFromJson(answer->asString());
}

}
