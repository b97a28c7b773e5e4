#pragma once

#include "gateway/internal/gatewaycontext.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <string>

namespace rosemaryshift::gateway {

/// Opens connections to the upstreams of services that this host does not reach, one at a time, to notice when it reaches them again. Used from the
/// gateway's thread.
class ReachProber
{
public:
    explicit ReachProber(GatewayContext &context);

    /// Probes until the process ends; never returns.
    boost::asio::awaitable<void> run();

private:
    /// Whether a connection to the next upstream of @p service could be opened.
    boost::asio::awaitable<bool> probe(const std::string &service);

    GatewayContext &m_context;
    std::size_t m_probes = 0; ///< Selects the upstreams in turn.
};

}
