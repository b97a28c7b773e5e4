#include "rollouts/versiongate.h"

namespace rosemaryshift::rollouts {

namespace {

/// Upstreams that are listed within this time of the first one of their service were there before this host began.
constexpr std::chrono::seconds FirstListTime{1};
/// Part of the slack that the hosts split; the rest is for hosts that start later and count anew.
constexpr double SplitSlackPart = 0.8;
/// A host that learns of an order after this part of its duration has no part of the slack.
constexpr double EarlyPart = 0.25;
/// A version that was listed for this multiple of the time in which orders arrive served before an order for it.
constexpr int ServedBeforeFactor = 3;

/// The lowest id in the era of the log in which @p id was given.
OrderId firstOfEra(OrderId id)
{
    return id & ~orderId(0, ~OrderId{0});
}

}

VersionGate::VersionGate(const ExposureBounds &bounds, Duration orderDelay, double random, Listener listener)
    : m_bounds(bounds)
    , m_orderDelay(orderDelay)
    , m_random(random)
    , m_listener(std::move(listener))
{
}

bool VersionGate::enabled() const
{
    return m_bounds.share > 0;
}

void VersionGate::setHostCount(std::size_t hosts)
{
    m_hosts = std::max<std::size_t>(hosts, 1);
}

bool VersionGate::isNewOrder(OrderId id, const Order &order)
{
    const OrderId era = firstOfEra(id);
    const auto settled = m_settled.find(order.service);
    if (settled != m_settled.end()) {
        const bool isRewritten = settled->second.order == order && settled->second.id < era;
        settled->second.id = isRewritten ? id : settled->second.id;
        if (id <= settled->second.id) {
            return false;
        }
    }
    Rollout *const known = find(order.service);
    if (known == nullptr) {
        return true;
    }
    if (known->order() == order && known->id() < era) {
        known->rename(id);
    }
    return id > known->id();
}

void VersionGate::applyOrder(OrderId id, const Order &order, std::optional<Duration> age, TimePoint now)
{
    if (!enabled()) {
        return;
    }
    if (!isNewOrder(id, order)) {
        Rollout *const known = find(order.service);
        if (known != nullptr && known->id() == id && age) {
            known->noteAge(*age, now);
        }
        return;
    }
    if (const Rollout *const replaced = find(order.service)) {
        report(*replaced, "replaced");
        if (replaced->state() != State::Complete && !replaced->returns()) {
            m_abandoned[order.service].insert(replaced->order().version);
        }
        m_rollouts.erase(order.service);
    }
    m_abandoned[order.service].erase(order.version);
    const bool early = age && *age < std::chrono::duration_cast<Duration>(order.duration * EarlyPart);
    const double slackPart = early ? m_bounds.slack * SplitSlackPart / static_cast<double>(m_hosts) : 0;
    const ExposureLimit limit(m_bounds.share, slackPart, m_random);
    Rollout &rollout = m_rollouts.try_emplace(order.service, id, order, m_bounds, limit, servesMost(order, now)).first->second;
    if (age) {
        rollout.noteAge(*age, now);
    }
    report(rollout, "ordered");
}

void VersionGate::applyRecord(const StateRecord &record, Duration sinceEpoch, TimePoint now)
{
    Rollout *const rollout = find(record.service);
    if (rollout == nullptr || rollout->order().version != record.version || record.order == 0) {
        return;
    }
    // Orders of an earlier era have new ids after the log was restored.
    if (rollout->id() != record.order && record.order >= firstOfEra(rollout->id())) {
        return;
    }
    if (isFinal(record.state)) {
        applyState(record.service, rollout->id(), record.state, true, now);
    } else if (record.deadlineMs > 0 && !rollout->age(now)) {
        const Duration left = std::chrono::milliseconds(record.deadlineMs) - sinceEpoch;
        rollout->noteAge(std::max(rollout->order().duration - left, Duration::zero()), now);
    }
}

void VersionGate::noteOrdersRead(TimePoint at)
{
    m_ordersRead = at;
}

bool VersionGate::appearsBesideOthers(const std::string &service, const std::string &version, TimePoint now) const
{
    const auto first = m_firstListed.find(service);
    if (!enabled() || first == m_firstListed.end() || now - first->second < FirstListTime) {
        return false;
    }
    bool others = false;
    for (const auto &[instance, listing] : m_listings) {
        if (listing.service == service) {
            if (listing.version == version) {
                return listing.held;
            }
            others = true;
        }
    }
    return others;
}

void VersionGate::noteListed(const std::string &instance, const std::string &service, const std::string &version, TimePoint now)
{
    const auto known = m_listings.find(instance);
    if (known != m_listings.end() && known->second.service == service && known->second.version == version) {
        return;
    }
    noteRemoved(instance);
    const bool held = appearsBesideOthers(service, version, now);
    m_firstListed.try_emplace(service, now);
    m_listings.insert_or_assign(instance, Listing{service, version, now, held});
    m_anyHeld = m_anyHeld || held;
}

void VersionGate::noteRemoved(const std::string &instance)
{
    m_listings.erase(instance);
}

bool VersionGate::servesMost(const Order &order, TimePoint now) const
{
    std::size_t all = 0;
    std::size_t ofVersion = 0;
    for (const auto &[instance, listing] : m_listings) {
        if (listing.service == order.service) {
            ++all;
            ofVersion += listing.version == order.version && !listing.held && now - listing.since > m_orderDelay * ServedBeforeFactor ? 1 : 0;
        }
    }
    return ofVersion * 2 > all;
}

bool VersionGate::isListed(std::string_view service, std::string_view version) const
{
    return std::ranges::any_of(m_listings, [&](const auto &entry) { return entry.second.service == service && entry.second.version == version; });
}

void VersionGate::release(TimePoint now)
{
    if (!m_anyHeld) {
        return;
    }
    m_anyHeld = false;
    for (auto &[instance, listing] : m_listings) {
        const bool read = m_ordersRead && *m_ordersRead >= listing.since;
        listing.held = listing.held && !read && now - listing.since < m_orderDelay;
        m_anyHeld = m_anyHeld || listing.held;
    }
}

void VersionGate::dropSettled(TimePoint now)
{
    for (auto entry = m_rollouts.begin(); entry != m_rollouts.end();) {
        if (entry->second.isSettled(now)) {
            report(entry->second, "settled");
            m_settled.insert_or_assign(entry->first, SettledOrder{entry->second.id(), entry->second.order()});
            entry = m_rollouts.erase(entry);
        } else {
            ++entry;
        }
    }
    for (auto &entry : m_abandoned) {
        const std::string &service = entry.first;
        std::erase_if(entry.second, [this, &service](const std::string &version) { return !isListed(service, version); });
    }
    std::erase_if(m_abandoned, [](const auto &entry) { return entry.second.empty(); });
}

void VersionGate::update(std::span<const ListedUpstream> upstreams, TimePoint now)
{
    release(now);
    for (auto &entry : m_rollouts) {
        const std::string &service = entry.first;
        Rollout &rollout = entry.second;
        std::vector<ListedUpstream> own;
        std::ranges::copy_if(upstreams, std::back_inserter(own), [&service](const ListedUpstream &upstream) { return upstream.service == service; });
        rollout.observe(own);
        if (m_holderToken > 0) {
            rollout.noteHolder(m_holderToken, now);
        }
        if (rollout.evaluate()) {
            report(rollout, "stopped");
        }
    }
    dropSettled(now);
}

VersionFilter VersionGate::filter(std::string_view service, const RequestTraits &traits, bool exposing, TimePoint now) const
{
    VersionFilter filter;
    if (const auto rollout = m_rollouts.find(service); rollout != m_rollouts.end()) {
        filter = rollout->second.filter(traits, exposing, now);
    } else if (m_anyHeld && exposing) {
        for (const auto &[instance, listing] : m_listings) {
            if (listing.held && listing.service == service) {
                filter.without.push_back(listing.version);
                filter.optional = true;
            }
        }
    }
    if (const auto abandoned = m_abandoned.find(service); abandoned != m_abandoned.end()) {
        filter.without.insert(filter.without.end(), abandoned->second.begin(), abandoned->second.end());
    }
    return filter;
}

Rollout *VersionGate::find(std::string_view service)
{
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second;
}

const std::map<std::string, Rollout, std::less<>> &VersionGate::rollouts() const
{
    return m_rollouts;
}

void VersionGate::applyState(const std::string &service, OrderId id, State state, bool recorded, TimePoint now)
{
    Rollout *const rollout = find(service);
    if (rollout != nullptr && rollout->id() == id && rollout->applyState(state, recorded, now)) {
        report(*rollout, rollouts::name(state));
    }
}

void VersionGate::setHolderToken(std::uint64_t token, TimePoint now)
{
    m_holderToken = token;
    if (token > 0) {
        for (auto &[service, rollout] : m_rollouts) {
            rollout.noteHolder(token, now);
        }
    }
}

gossip::StatusChannelId VersionGate::id() const
{
    return gossip::StatusChannelId::Rollouts;
}

std::string_view VersionGate::name() const
{
    return "rollouts";
}

std::string VersionGate::content(TimePoint now)
{
    if (m_rollouts.empty()) {
        return {};
    }
    std::vector<Report> reports;
    for (const auto &[service, rollout] : m_rollouts) {
        reports.push_back(rollout.report(m_holderToken, now));
    }
    return encoded(reports);
}

bool VersionGate::applyReport(std::string_view hostStart, const Report &report, TimePoint now)
{
    const std::optional<Duration> age = report.age;
    const Rollout *const known = find(report.order.service);
    const std::optional<Duration> knownAge = known != nullptr && known->id() == report.id ? known->age(now) : std::nullopt;
    if (knownAge && age && *age > *knownAge + report.order.duration) {
        return false;
    }
    applyOrder(report.id, report.order, age, now);
    Rollout *const rollout = find(report.order.service);
    if (rollout == nullptr || rollout->id() != report.id || rollout->order() != report.order) {
        return true; // It tells of an earlier order.
    }
    rollout->applyEvidence(hostStart, report.evidence, now);
    applyState(report.order.service, report.id, report.state, report.recorded, now);
    if (report.holderToken > 0) {
        rollout->noteHolder(report.holderToken, now);
    }
    return true;
}

bool VersionGate::apply(std::string_view hostStart, std::string_view content, TimePoint now)
{
    const std::optional<std::vector<Report>> reports = decodedReports(content);
    if (!reports) {
        return false;
    }
    bool plausible = true;
    for (const Report &report : *reports) {
        plausible = (!enabled() || applyReport(hostStart, report, now)) && plausible;
    }
    return plausible;
}

void VersionGate::forget(std::string_view)
{
    // What a host has seen stays true when it is gone.
}

void VersionGate::report(const Rollout &rollout, std::string_view change) const
{
    if (m_listener) {
        m_listener(rollout, change);
    }
}

}
