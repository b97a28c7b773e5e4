#include "quarantine/crashquarantine.h"

#include "base/rendezvous.h"
#include "quarantine/internal/evidencelimits.h"

#include <algorithm>

namespace rosemaryshift::quarantine {

namespace {

/// The latest crashes kept for each suspect. While most answers break, many are needed for a decision.
constexpr std::size_t MaxCrashes = 64;
/// Time without requests after the last crash until the first trial, and its upper bound. Doubled with each crash beyond the first few for a
/// prompt part, which many callers send, and with each failed trial for equal requests.
constexpr std::chrono::seconds FirstHold{30};
constexpr std::chrono::seconds LongestHold{600};
/// Time between two trials, within which the answer to the first is known.
constexpr std::chrono::seconds TrialInterval{15};
/// Least time for which a caller is told to wait while a suspect is in quarantine.
constexpr std::chrono::seconds MinWait{1};
/// Upper bounds on the suspects that are kept, and on the crashes that are kept of each service.
constexpr std::size_t MaxSuspects = 512;
constexpr std::size_t MaxServiceCrashes = 128;

}

std::string_view name(SuspectChange change)
{
    switch (change) {
    case SuspectChange::Quarantined:
        return "quarantined";
    case SuspectChange::Trial:
        return "trial";
    case SuspectChange::Released:
        return "released";
    case SuspectChange::Expired:
        return "expired";
    case SuspectChange::Restored:
        return "restored";
    }
    return "unknown";
}

CrashQuarantine::CrashQuarantine(Listener listener)
    : m_listener(std::move(listener))
{
}

void CrashQuarantine::setHosts(std::string own, std::vector<std::string> others)
{
    m_ownHost = std::move(own);
    m_otherHosts = std::move(others);
}

std::vector<SuspectId> CrashQuarantine::suspectsOf(const RequestTraits &request)
{
    std::vector<SuspectId> ids{{SuspectKind::Request, request.fingerprint}};
    for (const ports::PromptPart &part : request.parts) {
        ids.push_back({SuspectKind::PromptPart, part.id});
    }
    return ids;
}

void CrashQuarantine::setReportInterval(Duration interval)
{
    m_reportInterval = std::max(interval, ShortestReportInterval);
}

void CrashQuarantine::noteBroken(const RequestTraits &request, std::string_view instance, TimePoint since, TimePoint now)
{
    const std::string service(request.service);
    m_answers[service].note(true, now);
    const Crash crash{std::string(instance), now, now - since, true, false};
    noteServiceCrash(service, crash);
    for (const SuspectId id : suspectsOf(request)) {
        Suspect &suspect = m_suspects[id];
        suspect.service = service;
        addCrash(suspect, crash);
        judge(id, suspect, now);
    }
    limitSuspects();
}

void CrashQuarantine::notePresence(std::string_view service, std::string_view instance, TimePoint since, TimePoint now)
{
    m_presence[std::string(service)].note(instance, since, now);
}

void CrashQuarantine::noteCompleted(const RequestTraits &request, TimePoint now)
{
    m_answers[std::string(request.service)].note(false, now);
    for (const SuspectId id : suspectsOf(request)) {
        const auto found = m_suspects.find(id);
        if (found != m_suspects.end()) {
            complete(id, found->second, now);
            found->second.completedHere = true;
        }
    }
}

std::optional<Rejection> CrashQuarantine::admit(const RequestTraits &request, TimePoint now)
{
    const std::vector<SuspectId> ids = suspectsOf(request);
    std::vector<std::pair<SuspectId, Suspect *>> quarantined;
    for (const SuspectId id : ids) {
        const auto found = m_suspects.find(id);
        if (found != m_suspects.end() && found->second.quarantined) {
            quarantined.emplace_back(id, &found->second);
        }
    }
    if (quarantined.empty()) {
        return std::nullopt;
    }
    // Suspects that came together in all crashes are told apart by a request with only some of them, without waiting for the end of the hold.
    const bool ambiguous = std::ranges::all_of(quarantined, [this, &ids](const auto &entry) { return isExplainedByOther(*entry.second, ids); });
    Duration wait{0};
    for (const auto &[id, suspect] : quarantined) {
        if (!ambiguous) {
            wait = std::max(wait, suspect->crashes.back().at + holdTime(id, *suspect) - now);
        }
        if (suspect->lastTrial) {
            wait = std::max<Duration>(wait, *suspect->lastTrial + (suspect->trialUntold ? holdTime(id, *suspect) : Duration(TrialInterval)) - now);
        }
    }
    const SuspectId first = quarantined.front().first;
    // Suspects that always come together are tried together after the hold, so that the first one decides which host does it.
    if (wait > Duration::zero() || (!ambiguous && !makesTrials(first))) {
        return Rejection{first.kind, ambiguous ? Duration(MinWait) : std::max<Duration>(wait, MinWait)};
    }
    for (const auto &[id, suspect] : quarantined) {
        suspect->lastTrial = now;
        suspect->trialUntold = false;
        m_listener(id, SuspectChange::Trial, suspect->crashes.size());
    }
    return std::nullopt;
}

bool CrashQuarantine::isExplainedByOther(const Suspect &suspect, std::span<const SuspectId> own) const
{
    return std::ranges::any_of(m_suspects, [&suspect, own](const std::pair<const SuspectId, Suspect> &other) {
        const bool inRequest = std::ranges::find(own, other.first) != own.end();
        return other.second.quarantined && !inRequest && std::ranges::all_of(suspect.crashes, [&other](const Crash &crash) {
                   return std::ranges::any_of(other.second.crashes, [&crash](const Crash &known) { return sameCrash(crash, known); });
               });
    });
}

Duration CrashQuarantine::holdTime(SuspectId id, const Suspect &suspect)
{
    constexpr std::size_t MaxDoublings = 5; // Enough to reach the longest hold.
    const std::size_t first = id.kind == SuspectKind::PromptPart ? MinCrashes : suspect.crashesWhenQuarantined;
    const std::size_t failures = suspect.crashes.size() - std::min(suspect.crashes.size(), first) + (suspect.trialUntold ? 1 : 0);
    const std::size_t doublings = std::min(failures, MaxDoublings);
    return std::min<Duration>(FirstHold * (1U << doublings), LongestHold);
}

void CrashQuarantine::update(TimePoint now)
{
    for (auto &[service, presence] : m_presence) {
        presence.expire(now);
    }
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        Suspect &suspect = entry->second;
        judge(entry->first, suspect, now);
        if (!suspect.quarantined && isPresentTooOften(suspect, now)) {
            quarantine(entry->first, suspect);
        }
        const Duration lifetime = suspect.quarantined ? Duration(QuarantineLifetime) : Duration(SuspicionLifetime);
        if (!suspect.crashes.empty() && now - suspect.crashes.back().at > lifetime) {
            if (suspect.quarantined) {
                m_listener(entry->first, SuspectChange::Expired, suspect.crashes.size());
            }
            suspect = Suspect{};
        }
        const bool remembered = suspect.completedAt && now - *suspect.completedAt <= completionLifetime();
        entry = suspect.crashes.empty() && !remembered ? m_suspects.erase(entry) : std::next(entry);
    }
}

std::size_t CrashQuarantine::quarantined(SuspectKind kind) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_suspects, [kind](const auto &entry) { return entry.first.kind == kind && entry.second.quarantined; }));
}

bool CrashQuarantine::sameCrash(const Crash &a, const Crash &b)
{
    return a.instance == b.instance && std::chrono::abs(a.at - b.at) < (a.restored || b.restored ? RestoredMergeTime : CrashMergeTime);
}

Duration CrashQuarantine::completionLifetime() const
{
    return std::max<Duration>(CompletionLifetime, CompletionIntervals * m_reportInterval);
}

void CrashQuarantine::addCrash(Suspect &suspect, Crash crash)
{
    if (suspect.completedAt && crash.at <= *suspect.completedAt) {
        return;
    }
    const auto known = std::ranges::find_if(suspect.crashes, [&crash](const Crash &other) { return sameCrash(crash, other); });
    if (known != suspect.crashes.end()) {
        known->observedHere = known->observedHere || crash.observedHere;
        known->present = std::max(known->present, crash.present);
        known->restored = known->restored && crash.restored;
        return;
    }
    insertCrash(suspect, std::move(crash));
}

void CrashQuarantine::insertCrash(Suspect &suspect, Crash crash)
{
    suspect.trialUntold = false;
    suspect.firstCrashAt = suspect.crashes.empty() ? crash.at : std::min(suspect.firstCrashAt, crash.at);
    suspect.crashes.push_back(std::move(crash));
    std::ranges::sort(suspect.crashes, {}, &Crash::at);
    if (suspect.crashes.size() > MaxCrashes) {
        suspect.crashes.erase(suspect.crashes.begin());
    }
}

void CrashQuarantine::complete(SuspectId id, Suspect &suspect, TimePoint at)
{
    suspect.completedAt = std::max(suspect.completedAt.value_or(at), at);
    std::erase_if(suspect.crashes, [&suspect](const Crash &crash) { return crash.at <= *suspect.completedAt; });
    if (!suspect.crashes.empty()) {
        suspect.firstCrashAt = std::max(suspect.firstCrashAt, suspect.crashes.front().at);
    }
    if (suspect.quarantined && suspect.crashes.size() < MinCrashes) {
        suspect.quarantined = false;
        suspect.lastTrial.reset();
        suspect.trialUntold = false;
        m_listener(id, SuspectChange::Released, suspect.crashes.size());
    }
}

void CrashQuarantine::judge(SuspectId id, Suspect &suspect, TimePoint now)
{
    if (suspect.quarantined || suspect.crashes.size() < MinCrashes) {
        return;
    }
    const Duration observed = observedTime(suspect, now);
    const bool unlikely = observed >= ObservationIntervals * m_reportInterval && isUnlikelyCoincidence(suspect, now);
    if (id.kind == SuspectKind::PromptPart ? unlikely : isCauseOfCrashes(suspect, unlikely, observed)) {
        quarantine(id, suspect);
    }
}

Duration CrashQuarantine::observedTime(const Suspect &suspect, TimePoint now) const
{
    return now - std::max(suspect.firstCrashAt, m_restoredAt);
}

void CrashQuarantine::quarantine(SuspectId id, Suspect &suspect)
{
    suspect.quarantined = true;
    suspect.crashesWhenQuarantined = suspect.crashes.size();
    m_listener(id, SuspectChange::Quarantined, suspect.crashes.size());
}

void CrashQuarantine::noteServiceCrash(const std::string &service, const Crash &crash)
{
    std::deque<Crash> &crashes = m_crashes[service];
    const auto known = std::ranges::find_if(crashes, [&crash](const Crash &other) { return sameCrash(other, crash); });
    if (known != crashes.end()) {
        known->observedHere = known->observedHere || crash.observedHere;
        known->restored = known->restored && crash.restored;
        return;
    }
    m_presence[service].noteCrash(crash.instance, crash.at);
    crashes.push_back(crash);
    if (crashes.size() > MaxServiceCrashes) {
        crashes.pop_front();
    }
}

void CrashQuarantine::limitSuspects()
{
    const auto importance = [](const std::pair<const SuspectId, Suspect> &entry) {
        const Suspect &suspect = entry.second;
        return std::pair(suspect.quarantined, suspect.crashes.empty() ? TimePoint() : suspect.crashes.back().at);
    };
    while (m_suspects.size() > MaxSuspects) {
        m_suspects.erase(std::ranges::min_element(m_suspects, {}, importance));
    }
}

bool CrashQuarantine::makesTrials(SuspectId id) const
{
    const std::uint64_t own = rendezvousWeight(id.number, m_ownHost);
    return std::ranges::none_of(m_otherHosts, [id, own](const std::string &host) { return rendezvousWeight(id.number, host) > own; });
}

}
