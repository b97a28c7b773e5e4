#pragma once

#include "entry/internal/upstreamdirectory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rosemaryshift::entry {

/// Asks each live upstream for its load and hands the reports to the decisions. An upstream that does not answer, or
/// reports nothing, is left to the host's own observation. Not thread-safe; belongs to the control thread.
class LoadPoller
{
public:
    using Clock = std::function<TimePoint()>;

    LoadPoller(boost::asio::io_context &context, const UpstreamDirectory &upstreams, Clock clock, UpstreamDirectory::EventSink sink);

    /// Polls until the context ends.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> poll(UpstreamId upstream, http::Endpoint endpoint);

    boost::asio::io_context &m_context;
    const UpstreamDirectory &m_upstreams;
    const Clock m_clock;
    const UpstreamDirectory::EventSink m_sink;
    std::set<UpstreamId> m_pending; ///< Asked, not answered yet.
};

}
