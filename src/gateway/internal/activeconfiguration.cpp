#include "gateway/internal/activeconfiguration.h"

#include <algorithm>

namespace rosemaryshift::gateway {

bool ActiveConfiguration::accept(routing::Configuration configuration, std::string text)
{
    if (configuration.version <= version()) {
        return false;
    }
    m_table = std::make_shared<const routing::RouteTable>(std::move(configuration));
    m_text = std::move(text);
    return true;
}

void ActiveConfiguration::confirm(std::uint64_t version, TimePoint at)
{
    // A confirmation of an older version dates from before the one in force existed; one of a newer version tells that the one in force is replaced.
    if (m_table && version == this->version() && (!m_confirmedAt || at > *m_confirmedAt)) {
        m_confirmedAt = at;
    }
}

void ActiveConfiguration::setKnownVersion(std::uint64_t version)
{
    m_knownVersion = version;
}

const std::shared_ptr<const routing::RouteTable> &ActiveConfiguration::table() const
{
    return m_table;
}

std::uint64_t ActiveConfiguration::version() const
{
    return m_table ? m_table->configuration().version : 0;
}

std::uint64_t ActiveConfiguration::knownVersion() const
{
    return std::max(m_knownVersion, version());
}

const std::string &ActiveConfiguration::text() const
{
    return m_text;
}

std::optional<Duration> ActiveConfiguration::age(TimePoint now) const
{
    if (!m_confirmedAt) {
        return std::nullopt;
    }
    return std::max(now - *m_confirmedAt, Duration::zero());
}

bool ActiveConfiguration::outdated(TimePoint now, Duration maxDelay) const
{
    const std::optional<Duration> currentAge = age(now);
    return knownVersion() > version() && currentAge && *currentAge > maxDelay;
}

}
