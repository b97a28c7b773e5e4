#pragma once

#include "base/types.h"
#include "directory/directorytypes.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace rosemaryshift::directory {

/// One upstream as a host knows it.
struct Upstream {
    UpstreamEntry entry;
    TimePoint firstSeen;
    /// Set once nothing new may be sent; stays set for this start of the upstream.
    bool leaving = false;
    /// When the entry lapsed; nothing while it is listed.
    std::optional<TimePoint> lapsed;
    /// Since when the upstream may not be sent anything although it is listed: it said so, or another one answered at its address.
    std::optional<TimePoint> misdirected;
};

/// The upstreams that the platform lists, with what must not be forgotten of them: an upstream that has said it leaves gets nothing
/// new, whatever a later entry of the same start says. Not thread-safe.
class UpstreamDirectory
{
public:
    /// Called with each upstream that came, changed its state or went, and with what happened.
    using Listener = std::function<void(const Upstream &upstream, std::string_view change)>;

    explicit UpstreamDirectory(Listener listener = {});

    /// Takes an entry of the platform's list.
    void apply(const UpstreamEntry &entry, TimePoint now);
    /// Takes note that an entry was removed. While @p listUnsettled, shortly after an outage of the list, entries lapse of upstreams that
    /// still serve, so that one keeps its place until settle() is called without its return.
    void remove(std::string_view instance, TimePoint now, bool listUnsettled);
    /// Takes the whole list: what does not stand in it was removed.
    void applyAll(std::span<const UpstreamEntry> entries, TimePoint now, bool listUnsettled);
    /// Drops the upstreams whose entries lapsed until @p until and have not come back.
    void settle(TimePoint until);
    /// Takes note that another instance answered at the upstream's address.
    void noteMisdirected(std::string_view instance, TimePoint now);

    /// The upstreams of @p service that may be sent new work.
    [[nodiscard]] std::vector<const Upstream *> usable(std::string_view service, TimePoint now) const;
    /// The upstream of that instance; null when it is not listed.
    [[nodiscard]] const Upstream *find(std::string_view instance) const;
    /// All upstreams that are listed.
    [[nodiscard]] const std::map<std::string, Upstream, std::less<>> &all() const;

private:
    std::map<std::string, Upstream, std::less<>>::iterator drop(std::map<std::string, Upstream, std::less<>>::iterator entry);
    void report(const Upstream &upstream, std::string_view change) const;

    Listener m_listener;
    std::map<std::string, Upstream, std::less<>> m_upstreams;
    std::map<std::string, std::uint64_t, std::less<>> m_left; ///< Starts, by instance, that had said they leave before they were removed.
};

}
