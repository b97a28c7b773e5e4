#include "streams/versionhistory.h"

#include <algorithm>

namespace rosemaryshift::streams {

namespace {

/// Time after the last upstream of a version left for which its streams may be resumed; longer than the deadlines of requests.
constexpr std::chrono::seconds RetiredLifetime{60};

}

VersionHistory::VersionHistory(Listener listener)
    : m_listener(std::move(listener))
{
}

VersionHistory::Presence &VersionHistory::add(const ServiceVersion &version, TimePoint listedAt)
{
    const auto [entry, isNew] = m_services[version.service].try_emplace(version.softwareVersion, Presence{listedAt, false, false});
    if (isNew && m_listener) {
        m_listener(version.service, versions(version.service));
    }
    return entry->second;
}

void VersionHistory::noteListed(const ServiceVersion &version, TimePoint now)
{
    add(version, now).listedAt = now;
}

void VersionHistory::noteUnobserved(TimePoint now)
{
    for (auto &[service, presences] : m_services) {
        for (auto &[version, presence] : presences) {
            presence.listedAt = now;
        }
    }
}

void VersionHistory::noteRecorded(const ServiceVersion &version, bool isDefault, TimePoint now)
{
    Presence &presence = add(version, now);
    presence.recorded = true;
    presence.isDefault = isDefault;
    if (isDefault) {
        for (auto &[other, otherPresence] : m_services.at(version.service)) {
            otherPresence.isDefault = other == version.softwareVersion;
        }
    }
}

void VersionHistory::noteRecordsLost()
{
    for (auto &[service, presences] : m_services) {
        for (auto &[version, presence] : presences) {
            presence.recorded = false;
            presence.isDefault = false;
        }
    }
}

void VersionHistory::apply(const VersionReport &report, TimePoint now)
{
    constexpr std::uint64_t MaxAgeMs = std::chrono::milliseconds(RetiredLifetime).count();
    if (report.ageMs >= MaxAgeMs) {
        return;
    }
    const TimePoint listedAt = now - std::chrono::milliseconds(report.ageMs);
    Presence &presence = add(report.version, listedAt);
    presence.listedAt = std::max(presence.listedAt, listedAt);
}

std::vector<ServiceVersion> VersionHistory::expire(TimePoint now)
{
    std::vector<ServiceVersion> recorded;
    for (auto &[service, presences] : m_services) {
        const std::size_t before = presences.size();
        for (auto entry = presences.begin(); entry != presences.end();) {
            const bool expired = now - entry->second.listedAt > RetiredLifetime;
            if (expired && entry->second.recorded) {
                recorded.push_back({service, entry->first});
            }
            entry = expired ? presences.erase(entry) : std::next(entry);
        }
        if (presences.size() != before && m_listener) {
            m_listener(service, versions(service));
        }
    }
    return recorded;
}

std::set<std::string> VersionHistory::versions(const std::string &service) const
{
    std::set<std::string> versions;
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        for (const auto &[version, presence] : found->second) {
            versions.insert(version);
        }
    }
    return versions;
}

std::set<std::string> VersionHistory::mixedServices() const
{
    std::set<std::string> services;
    for (const auto &[service, versions] : m_services) {
        if (versions.size() > 1) {
            services.insert(service);
        }
    }
    return services;
}

std::optional<std::string> VersionHistory::defaultVersion(const std::string &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return std::nullopt;
    }
    const auto version = std::ranges::find_if(found->second, [](const std::pair<const std::string, Presence> &entry) { return entry.second.isDefault; });
    return version == found->second.end() ? std::nullopt : std::optional(version->first);
}

std::vector<ServiceVersion> VersionHistory::defaultCandidates() const
{
    std::vector<ServiceVersion> candidates;
    for (const auto &[service, presences] : m_services) {
        if (presences.size() == 1 && !presences.begin()->second.isDefault) {
            candidates.push_back({service, presences.begin()->first});
        }
    }
    return candidates;
}

std::vector<ServiceVersion> VersionHistory::unrecorded() const
{
    std::vector<ServiceVersion> versions;
    for (const auto &[service, presences] : m_services) {
        for (const auto &[version, presence] : presences) {
            if (!presence.recorded) {
                versions.push_back({service, version});
            }
        }
    }
    return versions;
}

std::vector<VersionReport> VersionHistory::reports(TimePoint now) const
{
    std::vector<VersionReport> reports;
    for (const std::string &service : mixedServices()) {
        for (const auto &[version, presence] : m_services.at(service)) {
            const std::int64_t ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - presence.listedAt).count();
            reports.push_back({{service, version}, static_cast<std::uint64_t>(std::max<std::int64_t>(ageMs, 0))});
        }
    }
    return reports;
}

}
