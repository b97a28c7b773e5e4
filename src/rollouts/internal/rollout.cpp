#include "rollouts/rollout.h"

#include <cmath>

namespace rosemaryshift::rollouts {

namespace {

/// Part of the order's duration, and longest time, before its end in which requests that would be lost with their upstream are moved first.
constexpr double MovePart = 0.35;
constexpr std::chrono::seconds LongestMoveTime{5};
/// Part of the order's duration after which few upstreams of the version get all requests that are exposed, so that they are loaded as usual.
constexpr double LoadTestPart = 0.33;
constexpr std::size_t MinExposedUpstreams = 2;
/// The holder decides within this multiple of the duration.
constexpr double LongestUndecided = 1.5;
/// The holder must have been heard within this part of the time in which a bad version has to be left.
constexpr double HolderSilencePart = 0.5;
/// Time after a roll-back for which the version is not used even if no other upstream is left.
constexpr std::chrono::seconds StrictRollbackTime{60};
/// Time after a completion for which the version is preferred, while upstreams of others are listed.
constexpr std::chrono::seconds CompletedTime{30};
/// Number of hosts' starts whose evidence is kept.
constexpr std::size_t MaxHostStarts = 4'096;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

}

Rollout::Rollout(OrderId id, Order order, const ExposureBounds &bounds, const ExposureLimit &limit, bool returns)
    : m_id(id)
    , m_order(std::move(order))
    , m_bounds(bounds)
    , m_limit(limit)
    , m_returns(returns)
{
}

OrderId Rollout::id() const
{
    return m_id;
}

const Order &Rollout::order() const
{
    return m_order;
}

void Rollout::rename(OrderId id)
{
    m_id = id;
}

void Rollout::noteAge(Duration age, TimePoint now)
{
    m_orderedAt = std::min(m_orderedAt.value_or(now), now - age);
}

std::optional<Duration> Rollout::age(TimePoint now) const
{
    return m_orderedAt ? std::optional(now - *m_orderedAt) : std::nullopt;
}

State Rollout::state() const
{
    return m_state;
}

bool Rollout::recorded() const
{
    return m_recorded;
}

bool Rollout::applyState(State state, bool isRecorded, TimePoint now)
{
    // A completion ends upstreams, so that it counts only once it stands in the log.
    if (m_recorded || (state == State::Complete && !isRecorded)) {
        return false;
    }
    const bool decides = isRecorded && isFinal(state);
    if (!decides && (isFinal(m_state) || state <= m_state)) {
        return false;
    }
    const bool changed = state != m_state;
    m_state = state;
    m_recorded = decides;
    if (isFinal(state) && changed) {
        m_decidedAt = now;
    }
    return changed;
}

void Rollout::noteHolder(std::uint64_t token, TimePoint now)
{
    if (token >= m_holderToken) {
        m_holderToken = token;
        m_holderHeard = now;
    }
}

void Rollout::observe(std::span<const ListedUpstream> upstreams)
{
    m_observed = true;
    m_versionListed = false;
    m_othersListed = false;
    m_slots = 0;
    m_otherSlots = 0;
    std::vector<std::pair<std::uint32_t, std::string>> ranked;
    std::vector<std::pair<std::uint32_t, std::string>> warmingUp;
    for (const ListedUpstream &upstream : upstreams) {
        const bool isVersion = upstream.version == m_order.version;
        (isVersion ? m_versionListed : m_othersListed) = true;
        if (!upstream.usable) {
            continue;
        }
        (isVersion ? m_slots : m_otherSlots) += upstream.slots;
        if (isVersion) {
            (upstream.warmingUp ? warmingUp : ranked).emplace_back(routeNumber(upstream.instance), upstream.instance);
        }
    }
    if (ranked.empty()) {
        ranked = std::move(warmingUp);
    }
    std::ranges::sort(ranked);
    m_instances.clear();
    for (auto &[rank, instance] : ranked) {
        m_instances.push_back(std::move(instance));
    }
}

void Rollout::applyEvidence(std::string_view hostStart, const Evidence &evidence, TimePoint now)
{
    const auto known = m_others.find(hostStart);
    if (known == m_others.end()) {
        if (m_others.size() < MaxHostStarts) {
            m_others.emplace(hostStart, HeardEvidence{evidence, now});
        }
    } else if (evidence.requests >= known->second.evidence.requests && evidence.answers() >= known->second.evidence.answers()) {
        known->second = {evidence, now}; // Otherwise the status is older than the known one.
    }
}

bool Rollout::evaluate()
{
    if (m_stopped || m_returns || isFinal(m_state) || verdict() != Verdict::Bad) {
        return false;
    }
    m_stopped = true;
    return true;
}

bool Rollout::isUndecided(TimePoint now) const
{
    const std::optional<Duration> since = age(now);
    return since && *since <= scaled(m_order.duration, LongestUndecided);
}

Duration Rollout::decisionTime() const
{
    return scaled(m_order.duration, 1 - ExposureLimit::CompletedPart * m_bounds.share);
}

ExposureUse Rollout::use(const RequestTraits &traits, TimePoint now) const
{
    const Duration since = age(now).value_or(Duration::zero());
    if (traits.othersUnreached && since >= decisionTime()) {
        return ExposureUse::Completing;
    }
    const Duration moveTime = std::min<Duration>(scaled(m_order.duration, MovePart), LongestMoveTime);
    return traits.lostWithUpstream && since >= m_order.duration - moveTime ? ExposureUse::Moving : ExposureUse::Trickle;
}

bool Rollout::mayExpose(const RequestTraits &traits, TimePoint now) const
{
    const std::optional<Duration> since = age(now);
    const bool inTime = since && *since <= m_order.duration;
    const bool holderHeard = m_holderHeard && now - *m_holderHeard <= scaled(m_bounds.maxRollbackDelay, HolderSilencePart);
    if (m_state != State::Running || m_stopped || m_instances.empty() || !holderHeard || !inTime) {
        return false;
    }
    return m_limit.allows(use(traits, now));
}

std::span<const std::string> Rollout::exposedUpstreams(TimePoint now) const
{
    const Duration since = age(now).value_or(Duration::zero());
    const Duration moveTime = std::min<Duration>(scaled(m_order.duration, MovePart), LongestMoveTime);
    const bool testsLoad = since >= scaled(m_order.duration, LoadTestPart) && since < m_order.duration - moveTime;
    const double usual = std::ceil(static_cast<double>(m_instances.size()) * m_bounds.share * ExposureLimit::TricklePart);
    const std::size_t number = testsLoad ? std::max(MinExposedUpstreams, static_cast<std::size_t>(usual)) : m_instances.size();
    return std::span(m_instances).first(std::min(number, m_instances.size()));
}

VersionFilter Rollout::filter(const RequestTraits &traits, bool exposing, TimePoint now) const
{
    VersionFilter others;
    others.without.push_back(m_order.version);
    if (m_state == State::RolledBack) {
        const bool strict = now - m_decidedAt.value_or(now) < StrictRollbackTime;
        others.optional = !strict;
        return strict || exposing ? others : VersionFilter();
    }
    VersionFilter version;
    version.only = m_order.version;
    version.optional = true;
    if (m_state == State::Complete || m_returns) {
        return exposing && !traits.continuedVersion ? version : VersionFilter();
    }
    if (m_observed && !m_othersListed && !m_stopped && !isUndecided(now)) {
        return {};
    }
    if (!exposing || (traits.continuedVersion && *traits.continuedVersion != m_order.version) || !mayExpose(traits, now)) {
        return others;
    }
    version.exposes = true;
    if (!traits.continuedVersion) {
        version.instances = exposedUpstreams(now);
    }
    return version;
}

bool Rollout::maySend(std::string_view version, TimePoint now) const
{
    if (version != m_order.version || m_returns || m_state == State::Complete) {
        return true;
    }
    return !m_stopped && (m_state != State::RolledBack || now - m_decidedAt.value_or(now) >= StrictRollbackTime);
}

void Rollout::noteExposed()
{
    m_limit.noteExposed();
}

void Rollout::noteRequest()
{
    m_limit.noteRequest();
}

AnswerCounts &Rollout::counts(std::string_view version, std::string_view route)
{
    RouteCounts &both = m_own.routes[routeNumber(route)];
    return version == m_order.version ? both.rolledOut : both.before;
}

void Rollout::noteAnswer(std::string_view version, std::string_view route, Duration time)
{
    ++counts(version, route).times[timeClass(time)];
}

void Rollout::noteFailure(std::string_view version, std::string_view instance, std::string_view route)
{
    ++counts(version, route).failures;
    if (version == m_order.version) {
        m_own.failedUpstreams |= instanceBit(instance);
    }
}

Report Rollout::report(std::uint64_t holderToken, TimePoint now) const
{
    Report report;
    report.id = m_id;
    report.order = m_order;
    if (const std::optional<Duration> since = age(now)) {
        report.age = std::chrono::duration_cast<std::chrono::milliseconds>(*since);
    }
    report.state = m_state;
    report.recorded = m_recorded;
    report.holderToken = holderToken;
    report.evidence = m_own;
    report.evidence.requests = m_limit.requests();
    report.evidence.exposed = m_limit.exposed();
    return report;
}

Evidence Rollout::pooled() const
{
    Evidence sum = m_own;
    sum.requests = m_limit.requests();
    sum.exposed = m_limit.exposed();
    for (const auto &[host, heard] : m_others) {
        sum.add(heard.evidence);
    }
    return sum;
}

std::size_t Rollout::heardHosts(TimePoint now) const
{
    const Duration longest = scaled(m_bounds.maxRollbackDelay, HolderSilencePart);
    return static_cast<std::size_t>(std::ranges::count_if(m_others, [&](const auto &entry) { return now - entry.second.heardAt <= longest; }));
}

Verdict Rollout::verdict() const
{
    return rollouts::verdict(pooled(), m_instances.size());
}

bool Rollout::isStopped() const
{
    return m_stopped;
}

bool Rollout::returns() const
{
    return m_returns;
}

std::uint64_t Rollout::slots() const
{
    return m_slots;
}

std::uint64_t Rollout::otherSlots() const
{
    return m_otherSlots;
}

bool Rollout::isSettled(TimePoint now) const
{
    const bool overdue = m_decidedAt && now - *m_decidedAt > CompletedTime;
    const bool ended = m_state == State::Complete ? !m_othersListed || overdue : !m_versionListed;
    return isFinal(m_state) && m_recorded && m_observed && ended;
}

}
