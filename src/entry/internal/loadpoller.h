#pragma once

#include "entry/internal/upstreamdirectory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rosemaryshift::entry {

/// Polls the load of each live upstream and posts the reports to the decision core. For an upstream without a report, the
/// core relies on the attempts this host runs there. Must be used on the control thread.
class LoadPoller
{
public:
    using Clock = std::function<TimePoint()>;

    LoadPoller(boost::asio::io_context &context, const UpstreamDirectory &upstreams, Clock clock, UpstreamDirectory::EventSink sink);

    /// Polls at a fixed interval; never returns.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> poll(UpstreamId upstream, http::Endpoint endpoint);

    boost::asio::io_context &m_context;
    const UpstreamDirectory &m_upstreams;
    const Clock m_clock;
    const UpstreamDirectory::EventSink m_sink;
    std::set<UpstreamId> m_pending; ///< Upstreams whose current poll has not ended.
};

}
