#include "entry/internal/upstreamdirectory.h"

#include <algorithm>

namespace rosemaryshift::entry {

using decisions::UpstreamGone;
using decisions::UpstreamLeaving;
using decisions::UpstreamListed;
using platform::HostKind;
using platform::ListedHost;
using timeline::EventKind;

namespace {

/// How long peers are told of a leaving upstream: several heartbeats. After that, they learn of it from the platform's list
/// or from the upstream's own answers.
constexpr std::chrono::seconds LeavingAnnouncementPeriod{10};

}

UpstreamDirectory::UpstreamDirectory(std::string ownZone, std::shared_ptr<timeline::ITimeline> timeline, EventSink sink)
    : m_ownZone(std::move(ownZone))
    , m_timeline(std::move(timeline))
    , m_sink(std::move(sink))
{
}

void UpstreamDirectory::update(const platform::HostList &list, TimePoint now)
{
    std::set<std::string> present;
    m_entryHosts.clear();
    for (const ListedHost &host : list.hosts) {
        if (host.kind == HostKind::Entry) {
            m_entryHosts[host.zone].insert(host.name);
            continue;
        }
        present.insert(host.name);
        updateUpstream(host, now);
    }
    markMissingGone(present);
}

void UpstreamDirectory::updateUpstream(const ListedHost &host, TimePoint now)
{
    const UpstreamId id = m_upstreamNames.intern(host.name);
    Row &row = m_rows[id];
    const bool endpointChanged = row.host.endpoint != host.endpoint;
    row.host = host;
    if (host.leavesIn) {
        postListed(id, host);
        startLeaving(id, *host.leavesIn, now);
        return;
    }
    if (row.state == State::Leaving && endpointChanged) {
        m_sink(UpstreamGone{id});
    }
    if (row.state == State::Gone || endpointChanged) {
        row.state = State::Live;
        m_timeline->record(EventKind::UpstreamListed, {.upstream = host.name, .detail = host.endpoint.text()});
    }
    postListed(id, host);
}

void UpstreamDirectory::postListed(UpstreamId id, const ListedHost &host)
{
    UpstreamListed event{};
    event.upstream = id;
    event.name = host.name;
    event.zone = m_zoneNames.intern(host.zone);
    event.sameZone = host.zone == m_ownZone;
    for (const std::string &name : host.targets) {
        event.targets.push_back(m_targetNames.intern(name));
    }
    event.slots = host.slots;
    event.price = host.price;
    event.checksFencing = host.checksFencing;
    m_sink(std::move(event));
}

void UpstreamDirectory::startLeaving(UpstreamId id, std::chrono::milliseconds leavesIn, TimePoint now)
{
    Row &row = m_rows[id];
    if (row.state == State::Leaving) {
        return;
    }
    row.state = State::Leaving;
    row.leavingSince = now;
    row.goneAt = now + leavesIn;
    m_sink(UpstreamLeaving{id, row.goneAt});
    m_timeline->record(EventKind::UpstreamLeaving, {.upstream = row.host.name, .detail = "gone in " + std::to_string(leavesIn.count()) + " ms"});
}

void UpstreamDirectory::markLeaving(UpstreamId upstream, std::chrono::milliseconds leavesIn, TimePoint now)
{
    if (m_rows.at(upstream).state == State::Live) {
        startLeaving(upstream, leavesIn, now);
    }
}

void UpstreamDirectory::noteLeavingFromPeer(const LeavingUpstream &leaving, TimePoint now)
{
    for (const auto &[id, row] : m_rows) {
        if (row.host.name == leaving.name && row.host.endpoint == leaving.endpoint) {
            markLeaving(id, leaving.leavesIn, now);
            return;
        }
    }
}

std::vector<LeavingUpstream> UpstreamDirectory::recentlyLeaving(TimePoint now) const
{
    std::vector<LeavingUpstream> found;
    for (const auto &[id, row] : m_rows) {
        if (row.state == State::Leaving && now - row.leavingSince < LeavingAnnouncementPeriod) {
            const Duration left = std::max(row.goneAt - now, Duration(0));
            found.push_back({row.host.name, row.host.endpoint, std::chrono::duration_cast<std::chrono::milliseconds>(left)});
        }
    }
    return found;
}

void UpstreamDirectory::markMissingGone(const std::set<std::string> &present)
{
    for (auto &[id, row] : m_rows) {
        if (row.state == State::Gone || present.contains(row.host.name)) {
            continue;
        }
        row.state = State::Gone;
        m_sink(UpstreamGone{id});
        m_timeline->record(EventKind::UpstreamGone, {.upstream = row.host.name});
    }
}

const ListedHost &UpstreamDirectory::host(UpstreamId upstream) const
{
    return m_rows.at(upstream).host;
}

TargetId UpstreamDirectory::target(std::string_view name)
{
    return m_targetNames.intern(name);
}

std::size_t UpstreamDirectory::entryHostCount() const
{
    std::size_t count = 0;
    for (const auto &[zone, names] : m_entryHosts) {
        count += names.size();
    }
    return std::max<std::size_t>(count, 1);
}

decisions::HostPosition UpstreamDirectory::hostPosition(std::string_view ownName) const
{
    std::map<std::string, std::set<std::string>> hosts = m_entryHosts;
    hosts[m_ownZone].insert(std::string(ownName));
    const std::set<std::string> &own = hosts.at(m_ownZone);
    decisions::HostPosition position;
    position.zones = static_cast<std::uint32_t>(hosts.size());
    position.zoneRank = static_cast<std::uint32_t>(std::distance(hosts.begin(), hosts.find(m_ownZone)));
    position.hostsInZone = static_cast<std::uint32_t>(own.size());
    position.hostRank = static_cast<std::uint32_t>(std::distance(own.begin(), own.find(std::string(ownName))));
    return position;
}

std::vector<UpstreamAddress> UpstreamDirectory::liveAddresses() const
{
    std::vector<UpstreamAddress> addresses;
    for (const auto &[id, row] : m_rows) {
        if (row.state == State::Live) {
            addresses.push_back({id, row.host.endpoint});
        }
    }
    return addresses;
}

std::set<std::string> UpstreamDirectory::liveTargets() const
{
    std::set<std::string> names;
    for (const auto &[id, row] : m_rows) {
        if (row.state == State::Live) {
            names.insert(row.host.targets.begin(), row.host.targets.end());
        }
    }
    return names;
}

std::vector<std::pair<ListedHost, bool>> UpstreamDirectory::upstreams() const
{
    std::vector<std::pair<ListedHost, bool>> rows;
    for (const auto &[id, row] : m_rows) {
        if (row.state != State::Gone) {
            rows.emplace_back(row.host, row.state == State::Live);
        }
    }
    return rows;
}

}
