#pragma once

#include "base/types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemaryshift::streams {

/// A software version of a service.
struct ServiceVersion {
    std::string service;
    std::string softwareVersion;

    auto operator<=>(const ServiceVersion &) const = default;
};

/// A version, and the time since an upstream of it was last listed, as one host tells the others.
struct VersionReport {
    ServiceVersion version;
    std::uint64_t ageMs = 0;

    bool operator==(const VersionReport &) const = default;
};

/// Knows which software versions of each service may have begun a stream that a caller can still resume: those of the listed upstreams, and those
/// whose last upstream left a short time ago. The versions are recorded where a host that starts later finds them. Each call passes the current
/// time. Not thread-safe.
class VersionHistory
{
public:
    /// Called with a service and its versions when they have changed.
    using Listener = std::function<void(const std::string &service, const std::set<std::string> &versions)>;

    explicit VersionHistory(Listener listener = {});

    /// Notes that an upstream of @p version is listed.
    void noteListed(const ServiceVersion &version, TimePoint now);
    /// Notes that upstreams may have been listed unseen until @p now: the known versions count as listed until then.
    void noteUnobserved(TimePoint now);
    /// Notes that @p version is recorded, by this host or by another one. When it is not known here it counts as listed until now, since the record
    /// does not tell how long ago its last upstream left. @p isDefault: the record states that it is the default version of its service.
    void noteRecorded(const ServiceVersion &version, bool isDefault, TimePoint now);
    /// Notes that records may be lost: all versions count as not recorded, and no service has a default version.
    void noteRecordsLost();
    /// Applies the report of another host.
    void apply(const VersionReport &report, TimePoint now);
    /// Forgets the versions whose streams can no longer be resumed. Returns those of them that are recorded, for the records to be removed.
    std::vector<ServiceVersion> expire(TimePoint now);

    /// The versions of @p service that may have begun a stream.
    [[nodiscard]] std::set<std::string> versions(const std::string &service) const;
    /// Services that have several versions. Only the origins of their streams need to be recorded.
    [[nodiscard]] std::set<std::string> mixedServices() const;
    /// The version of @p service whose streams need no record: a stream that is not recorded is of it. Nothing when none is recorded as such.
    [[nodiscard]] std::optional<std::string> defaultVersion(const std::string &service) const;
    /// The only versions of services that have no default version yet, so that no stream of another version can be under way.
    [[nodiscard]] std::vector<ServiceVersion> defaultCandidates() const;
    /// Versions that are not recorded yet.
    [[nodiscard]] std::vector<ServiceVersion> unrecorded() const;
    /// The versions of the services that have several, for the other hosts.
    [[nodiscard]] std::vector<VersionReport> reports(TimePoint now) const;

private:
    struct Presence {
        TimePoint listedAt; ///< When an upstream of the version was last listed.
        bool recorded = false;
        bool isDefault = false;
    };

    Presence &add(const ServiceVersion &version, TimePoint listedAt);

    const Listener m_listener;
    std::map<std::string, std::map<std::string, Presence>> m_services;
};

}
