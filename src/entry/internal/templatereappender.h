#pragma once

#include "entry/internal/logfollower.h"
#include "entry/internal/templatetable.h"
#include "entry/internal/upstreamdirectory.h"
#include "platform/iplatform.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace rosemaryshift::entry {

/// Appends templates to the log again before its retention drops their records. Must be used on the control thread.
class TemplateReappender
{
public:
    TemplateReappender(TemplateTable &templates, const UpstreamDirectory &upstreams, const LogFollower &follower, std::shared_ptr<platform::ILog> log);

    /// Checks at a fixed interval for templates to append again; never returns.
    boost::asio::awaitable<void> run();

private:
    TemplateTable &m_templates;
    const UpstreamDirectory &m_upstreams;
    const LogFollower &m_follower;
    const std::shared_ptr<platform::ILog> m_log;
};

}
