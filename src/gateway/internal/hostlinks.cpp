#include "gateway/internal/hostlinks.h"

#include "base/text.h"

namespace rosemaryshift::gateway {

HostLinks::HostLinks(std::uint64_t megabits)
    : m_own(megabits)
{
}

gossip::StatusChannelId HostLinks::id() const
{
    return gossip::StatusChannelId::HostLinks;
}

std::string_view HostLinks::name() const
{
    return "host_links";
}

std::string HostLinks::content(TimePoint /*now*/)
{
    return m_own > 0 ? std::to_string(m_own) : std::string();
}

bool HostLinks::apply(std::string_view hostStart, std::string_view content, TimePoint /*now*/)
{
    const std::optional<std::uint64_t> megabits = parseUnsigned(content);
    if (megabits) {
        m_others.insert_or_assign(std::string(hostStart), *megabits);
    }
    return megabits.has_value();
}

void HostLinks::forget(std::string_view hostStart)
{
    const auto known = m_others.find(hostStart);
    if (known != m_others.end()) {
        m_others.erase(known);
    }
}

std::uint64_t HostLinks::own() const
{
    return m_own;
}

std::uint64_t HostLinks::of(const std::string &hostStart) const
{
    const auto known = m_others.find(hostStart);
    return known == m_others.end() ? 0 : known->second;
}

}
