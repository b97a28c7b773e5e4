#include "gateway/internal/activeconfiguration.h"

#include <algorithm>

namespace rosemaryshift::gateway {

bool ActiveConfiguration::accept(routing::Configuration configuration, configurations::LoggedText text)
{
    if (configuration.version <= version()) {
        return false;
    }
    m_decodedRoutes.clear();
    std::size_t route = 0;
    for (const std::shared_ptr<const configurations::Section> &section : text.text.sections()) {
        if (section->isRoute && route < configuration.routes.size()) {
            m_decodedRoutes.emplace(section.get(), configuration.routes[route]);
            ++route;
        }
    }
    m_table = std::make_shared<const routing::RouteTable>(std::move(configuration));
    m_texts.add(std::move(text));
    return true;
}

void ActiveConfiguration::confirm(std::uint64_t version, TimePoint at)
{
    // A confirmation of an older version dates from before the one in force existed; one of a newer version tells that the one in force is replaced.
    if (m_table && version == this->version() && (!m_confirmedAt || at > *m_confirmedAt)) {
        m_confirmedAt = at;
    }
}

void ActiveConfiguration::confirmByLog(std::uint64_t version, TimePoint at)
{
    confirm(version, at);
    if (m_knownVersion > version && at > m_knownAt) {
        m_knownVersion = version;
    }
}

void ActiveConfiguration::noteKnown(std::uint64_t version, TimePoint at)
{
    if (version > knownVersion()) {
        m_knownVersion = version;
        m_knownAt = at;
    }
}

void ActiveConfiguration::forgetKnown()
{
    m_knownVersion = 0;
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

configurations::ChangeSource &ActiveConfiguration::texts()
{
    return m_texts;
}

const configurations::ChangeSource &ActiveConfiguration::texts() const
{
    return m_texts;
}

std::shared_ptr<const routing::Route> ActiveConfiguration::decodedRoute(const configurations::Section &section) const
{
    const auto found = m_decodedRoutes.find(&section);
    return found == m_decodedRoutes.end() ? nullptr : found->second;
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
