#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "http/ihttpserver.h"

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <string>

namespace rosemaryshift::gateway {

/// Sends the configuration in force to peers: what differs from the one that the peer has, or the whole text to peers of earlier software versions. Serves few
/// peers at a time, so that its link isn't shared by all; the others are told at once which peers have been served. Used from the gateway's thread.
class ConfigurationServer
{
public:
    explicit ConfigurationServer(GatewayContext &context);

    /// Answers @p request.
    boost::asio::awaitable<void> serve(const http::Request &request, http::IResponseWriter &writer);

private:
    /// Counts one large answer while it is being sent.
    class Transfer
    {
    public:
        explicit Transfer(std::size_t &transfers)
            : m_transfers(transfers)
        {
            ++m_transfers;
        }
        ~Transfer()
        {
            --m_transfers;
        }
        Transfer(const Transfer &) = delete;
        Transfer &operator=(const Transfer &) = delete;

    private:
        std::size_t &m_transfers;
    };

    /// A peer that has been sent a version.
    struct Holder {
        std::string address;
        std::uint64_t version = 0;
    };

    /// Addresses of peers that have been sent the version in force, separated by commas.
    [[nodiscard]] std::string holders() const;
    void noteHolder(std::string address, std::uint64_t version);

    GatewayContext &m_context;
    std::size_t m_transfers = 0;  ///< Large answers that are being sent.
    std::deque<Holder> m_holders; ///< The latest ones.
};

}
