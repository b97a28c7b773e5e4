#pragma once

#include "gateway/internal/gatewaycontext.h"

#include <boost/asio/awaitable.hpp>

namespace rosemaryshift::gateway {

/// Measures the delay of the gateway's event loop, and adapts the share of the requests that the gateway admits to it. Used from the gateway's thread.
class LoopSampler
{
public:
    explicit LoopSampler(GatewayContext &context);

    /// Takes samples until the process ends; never returns.
    boost::asio::awaitable<void> run();

private:
    GatewayContext &m_context;
};

}
