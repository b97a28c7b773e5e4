#pragma once

#include "gateway/internal/gatewaycontext.h"

#include <boost/asio/awaitable.hpp>

namespace rosemaryshift::gateway {

/// Keeps the list of upstreams up to date from the platform's log. Used from the gateway's thread.
class UpstreamFollower
{
public:
    explicit UpstreamFollower(GatewayContext &context);

    /// Follows the log for ever.
    boost::asio::awaitable<void> run();
    /// Whether the list was read at least once.
    [[nodiscard]] bool known() const;

private:
    boost::asio::awaitable<bool> readNewest(ports::LogFailure &failure);
    boost::asio::awaitable<bool> readOn(ports::LogFailure &failure);
    [[nodiscard]] std::optional<directory::UpstreamEntry> entryOf(const ports::Record &record) const;
    [[nodiscard]] std::chrono::milliseconds pauseAfter(bool done) const;
    void settle();
    void noteReachable(bool reachable, std::string_view reason);

    GatewayContext &m_context;
    std::optional<std::uint64_t> m_offset;
    bool m_known = false;
};

}
