#pragma once

#include "base/types.h"
#include "directory/directorytypes.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace rosemaryshift::directory {

/// A listed upstream, with what this host knows about it beyond its entry.
struct Upstream {
    UpstreamEntry entry;
    TimePoint firstSeen; ///< When this run of the upstream was first listed.
    /// Set once no new requests may be sent to the upstream; stays set for this run of it.
    bool leaving = false;
    /// When the entry was found missing shortly after an outage of the list; nothing while the upstream is listed.
    std::optional<TimePoint> lapsedAt;
    /// Since when the upstream is avoided although it is listed: it denied being the expected instance, or another instance answered at
    /// its address.
    std::optional<TimePoint> avoidedSince;
};

/// The upstreams that the platform lists. An upstream that has announced that it leaves gets no new requests, even when a later entry of the same
/// run says that it is ready. Not thread-safe.
class UpstreamDirectory
{
public:
    /// Called with an upstream and its @p change: "listed", "leaving", "notice" (the time until it leaves is known), "lapsed", "listed again", "misdirected"
    /// or "removed".
    using Listener = std::function<void(const Upstream &upstream, std::string_view change)>;

    explicit UpstreamDirectory(Listener listener = {});

    /// Adds or updates the upstream of an entry of the platform's list.
    void apply(const UpstreamEntry &entry, TimePoint now);
    /// Removes an upstream whose entry was removed from the list. When @p listUnsettled is set, shortly after an outage of the list, the entry may
    /// have lapsed although the upstream still serves; the upstream is then kept until settle() finds that its entry has not come back.
    void remove(std::string_view instance, TimePoint now, bool listUnsettled);
    /// Applies the whole list. Upstreams without an entry in it are removed as by remove().
    void applyAll(std::span<const UpstreamEntry> entries, TimePoint now, bool listUnsettled);
    /// Drops the upstreams whose entries lapsed at or before @p until and have not come back.
    void settle(TimePoint until);
    /// Notes that @p instance said of itself that it leaves; this run of it then gets no new requests, whatever the list says.
    void noteLeaving(std::string_view instance);
    /// Notes that @p instance is not at its listed address; it is then avoided for some time.
    void noteMisdirected(std::string_view instance, TimePoint now);

    /// The upstreams of @p service that may get new requests.
    [[nodiscard]] std::vector<const Upstream *> usable(std::string_view service, TimePoint now) const;
    /// The upstream whose run @p entry describes; null when it may not get new requests, or when that run is not known any more.
    [[nodiscard]] const Upstream *usableRun(const UpstreamEntry &entry, TimePoint now) const;
    /// The upstream with the given id; null when it is not known.
    [[nodiscard]] const Upstream *find(std::string_view instance) const;
    /// All known upstreams, by id; includes those whose entries have lapsed.
    [[nodiscard]] const std::map<std::string, Upstream, std::less<>> &all() const;

private:
    std::map<std::string, Upstream, std::less<>>::iterator drop(std::map<std::string, Upstream, std::less<>>::iterator entry);
    void report(const Upstream &upstream, std::string_view change) const;

    Listener m_listener;
    std::map<std::string, Upstream, std::less<>> m_upstreams;
    /// By id, UpstreamEntry::startTimeMs of the last run that was removed after it had announced that it leaves.
    std::map<std::string, std::uint64_t, std::less<>> m_leftStartTimes;
};

}
