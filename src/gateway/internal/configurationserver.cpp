#include "gateway/internal/configurationserver.h"

#include "gateway/internal/configurationtransfer.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Number of peers that are sent a large answer at the same time.
constexpr std::size_t MaxTransfers = 4;
/// Largest answer that does not count as large.
constexpr std::size_t SmallAnswerBytes = 8 * 1024;
constexpr std::string_view JsonContentType = "application/json";
/// Number of peers that are kept as holders.
constexpr std::size_t MaxHolders = 16;

}

ConfigurationServer::ConfigurationServer(GatewayContext &context)
    : m_context(context)
{
}

std::string ConfigurationServer::holders() const
{
    std::string addresses;
    for (const Holder &holder : m_holders) {
        if (holder.version == m_context.configuration.version()) {
            addresses += addresses.empty() ? std::string_view() : std::string_view(",");
            addresses += holder.address;
        }
    }
    return addresses;
}

void ConfigurationServer::noteHolder(std::string address, std::uint64_t version)
{
    m_holders.push_back({std::move(address), version});
    if (m_holders.size() > MaxHolders) {
        m_holders.pop_front();
    }
}

net::awaitable<void> ConfigurationServer::serve(const http::Request &request, http::IResponseWriter &writer)
{
    http::Response response;
    const std::uint64_t version = m_context.configuration.version();
    if (version == 0) {
        response.status = 503;
        co_await writer.respond(std::move(response));
        co_return;
    }
    const std::optional<std::string> base = http::queryValue(request.target, BaseParameter);
    configurations::ChangeSource &texts = m_context.configuration.texts();
    if (base) {
        response.headers.add("Content-Type", ChangeContentType);
        response.body = texts.body(*base);
    } else {
        response.headers.add("Content-Type", JsonContentType);
        response.body = texts.current().text();
    }
    const std::size_t bytes = response.body.size();
    const bool isLarge = bytes > SmallAnswerBytes;
    if (base && isLarge && m_transfers >= MaxTransfers) {
        http::Response busy;
        busy.status = 503;
        busy.headers.add(HoldersHeader, holders());
        m_context.metrics.count("rosemaryshift_configuration_served_total", R"(outcome="busy")");
        co_await writer.respond(std::move(busy));
        co_return;
    }
    std::optional<Transfer> transfer;
    if (isLarge) {
        transfer.emplace(m_transfers);
    }
    co_await writer.respond(std::move(response));
    transfer.reset();
    m_context.metrics.count("rosemaryshift_configuration_served_total", R"(outcome="sent")");
    m_context.metrics.count("rosemaryshift_configuration_bytes_total", R"(direction="sent")", bytes);
    const std::optional<std::string> peer = http::queryValue(request.target, PeerParameter);
    if (peer) {
        noteHolder(*peer, version);
    }
}

}
