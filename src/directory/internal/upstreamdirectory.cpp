#include "directory/upstreamdirectory.h"

#include <algorithm>
#include <set>

namespace rosemaryshift::directory {

namespace {

/// How long an upstream is left alone after another instance answered at its address; the list names its new address by then.
constexpr std::chrono::seconds MisdirectedTime{5};

/// Whether two entries describe the same start of an upstream.
bool sameStart(const UpstreamEntry &known, const UpstreamEntry &entry)
{
    return known.bornMs == entry.bornMs && known.endpoint == entry.endpoint && known.service == entry.service;
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
    if (found != m_upstreams.end() && entry.bornMs < found->second.entry.bornMs) {
        return; // A late record of an earlier start.
    }
    if (found == m_upstreams.end() || !sameStart(found->second.entry, entry)) {
        const auto left = m_left.find(entry.instance);
        const bool leftBefore = left != m_left.end() && left->second == entry.bornMs;
        Upstream &upstream = m_upstreams[entry.instance];
        upstream = Upstream{entry, now, leaves || leftBefore, std::nullopt, std::nullopt};
        report(upstream, upstream.leaving ? "leaving" : "listed");
        return;
    }
    Upstream &upstream = found->second;
    const bool begins = leaves && !upstream.leaving;
    const bool returned = upstream.lapsed.has_value();
    upstream.entry = entry;
    upstream.leaving = upstream.leaving || leaves;
    upstream.lapsed.reset();
    if (begins || returned) {
        report(upstream, begins ? "leaving" : "listed again");
    }
}

void UpstreamDirectory::remove(std::string_view instance, TimePoint now, bool listUnsettled)
{
    const auto found = m_upstreams.find(instance);
    if (found == m_upstreams.end()) {
        return;
    }
    if (listUnsettled) {
        if (!found->second.lapsed) {
            found->second.lapsed = now;
            report(found->second, "lapsed");
        }
        return;
    }
    drop(found);
}

std::map<std::string, Upstream, std::less<>>::iterator UpstreamDirectory::drop(std::map<std::string, Upstream, std::less<>>::iterator entry)
{
    if (entry->second.leaving) {
        m_left[entry->first] = entry->second.entry.bornMs;
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
        const bool gone = entry->second.lapsed && *entry->second.lapsed <= until;
        entry = gone ? drop(entry) : std::next(entry);
    }
}

void UpstreamDirectory::noteMisdirected(std::string_view instance, TimePoint now)
{
    const auto found = m_upstreams.find(instance);
    if (found != m_upstreams.end()) {
        found->second.misdirected = now;
        report(found->second, "misdirected");
    }
}

std::vector<const Upstream *> UpstreamDirectory::usable(std::string_view service, TimePoint now) const
{
    std::vector<const Upstream *> upstreams;
    for (const auto &[instance, upstream] : m_upstreams) {
        const bool misdirected = upstream.misdirected && now - *upstream.misdirected < MisdirectedTime;
        if (upstream.entry.service == service && !upstream.leaving && !misdirected) {
            upstreams.push_back(&upstream);
        }
    }
    return upstreams;
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
