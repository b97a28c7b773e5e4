#include "directory/upstreamdirectory.h"

#include <algorithm>
#include <set>

namespace rosemaryshift::directory {

namespace {

/// How long an upstream is avoided after another instance answered at its address; by then the list has its new address.
constexpr std::chrono::seconds MisdirectedAvoidanceTime{5};

/// Whether two entries describe the same run of an upstream.
bool sameRun(const UpstreamEntry &known, const UpstreamEntry &entry)
{
    return known.startTimeMs == entry.startTimeMs && known.endpoint == entry.endpoint && known.service == entry.service
        && known.softwareVersion == entry.softwareVersion;
}

bool mayGetRequests(const Upstream &upstream, TimePoint now)
{
    const bool avoided = upstream.avoidedSince && now - *upstream.avoidedSince < MisdirectedAvoidanceTime;
    return !upstream.leaving && !avoided;
}

}

UpstreamDirectory::UpstreamDirectory(Listener listener)
    : m_listener(std::move(listener))
{
}

void UpstreamDirectory::apply(const UpstreamEntry &entry, TimePoint now)
{
    const bool leaves = entry.state == UpstreamState::Leaving;
    const auto found = m_upstreams.find(entry.instance);
    if (found != m_upstreams.end() && entry.startTimeMs < found->second.entry.startTimeMs) {
        return; // A delayed entry of an earlier run.
    }
    if (found == m_upstreams.end() || !sameRun(found->second.entry, entry)) {
        const auto left = m_leftStartTimes.find(entry.instance);
        const bool leftBefore = left != m_leftStartTimes.end() && left->second == entry.startTimeMs;
        Upstream &upstream = m_upstreams[entry.instance];
        upstream = Upstream{entry, now, leaves || leftBefore, std::nullopt, std::nullopt};
        report(upstream, upstream.leaving ? "leaving" : "listed");
        if (leaves && entry.leavesIn) {
            report(upstream, "notice");
        }
        return;
    }
    Upstream &upstream = found->second;
    const bool startsLeaving = leaves && !upstream.leaving;
    const bool noticed = leaves && entry.leavesIn && !(upstream.entry.state == UpstreamState::Leaving && upstream.entry.leavesIn);
    const bool returned = upstream.lapsedAt.has_value();
    upstream.entry = entry;
    upstream.leaving = upstream.leaving || leaves;
    upstream.lapsedAt.reset();
    if (startsLeaving || returned) {
        report(upstream, startsLeaving ? "leaving" : "listed again");
    }
    if (noticed) {
        report(upstream, "notice");
    }
}

void UpstreamDirectory::remove(std::string_view instance, TimePoint now, bool listUnsettled)
{
    const auto found = m_upstreams.find(instance);
    if (found == m_upstreams.end()) {
        return;
    }
    if (listUnsettled) {
        if (!found->second.lapsedAt) {
            found->second.lapsedAt = now;
            report(found->second, "lapsed");
        }
        return;
    }
    drop(found);
}

std::map<std::string, Upstream, std::less<>>::iterator UpstreamDirectory::drop(std::map<std::string, Upstream, std::less<>>::iterator entry)
{
    if (entry->second.leaving) {
        m_leftStartTimes[entry->first] = entry->second.entry.startTimeMs;
    }
    report(entry->second, "removed");
    return m_upstreams.erase(entry);
}

void UpstreamDirectory::applyAll(std::span<const UpstreamEntry> entries, TimePoint now, bool listUnsettled)
{
    std::set<std::string_view> listed;
    for (const UpstreamEntry &entry : entries) {
        listed.insert(entry.instance);
        apply(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto &[instance, upstream] : m_upstreams) {
        if (!listed.contains(instance)) {
            missing.push_back(instance);
        }
    }
    for (const std::string &instance : missing) {
        remove(instance, now, listUnsettled);
    }
}

void UpstreamDirectory::settle(TimePoint until)
{
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const bool gone = entry->second.lapsedAt && *entry->second.lapsedAt <= until;
        entry = gone ? drop(entry) : std::next(entry);
    }
}

void UpstreamDirectory::noteLeaving(std::string_view instance)
{
    const auto found = m_upstreams.find(instance);
    if (found != m_upstreams.end() && !found->second.leaving) {
        found->second.leaving = true;
        report(found->second, "leaving");
    }
}

void UpstreamDirectory::noteMisdirected(std::string_view instance, TimePoint now)
{
    const auto found = m_upstreams.find(instance);
    if (found != m_upstreams.end()) {
        found->second.avoidedSince = now;
        report(found->second, "misdirected");
    }
}

std::vector<const Upstream *> UpstreamDirectory::usable(std::string_view service, TimePoint now) const
{
    std::vector<const Upstream *> upstreams;
    for (const auto &[instance, upstream] : m_upstreams) {
        if (upstream.entry.service == service && mayGetRequests(upstream, now)) {
            upstreams.push_back(&upstream);
        }
    }
    return upstreams;
}

const Upstream *UpstreamDirectory::usableRun(const UpstreamEntry &entry, TimePoint now) const
{
    const Upstream *const upstream = find(entry.instance);
    return upstream != nullptr && sameRun(upstream->entry, entry) && mayGetRequests(*upstream, now) ? upstream : nullptr;
}

const Upstream *UpstreamDirectory::find(std::string_view instance) const
{
    const auto found = m_upstreams.find(instance);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const std::map<std::string, Upstream, std::less<>> &UpstreamDirectory::all() const
{
    return m_upstreams;
}

void UpstreamDirectory::report(const Upstream &upstream, std::string_view change) const
{
    if (m_listener) {
        m_listener(upstream, change);
    }
}

}
