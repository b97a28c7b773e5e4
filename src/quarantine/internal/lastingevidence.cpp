#include "quarantine/crashquarantine.h"
#include "quarantine/internal/evidencelimits.h"
#include "quarantine/internal/reportages.h"

#include <algorithm>
#include <tuple>

namespace rosemaryshift::quarantine {

namespace {

/// Upper bounds on what one record holds. A host that starts reads the records of all.
constexpr std::size_t MaxRecordedCrashes = 8;
constexpr std::size_t MaxRecordedSuspects = 8;
constexpr std::size_t MaxRecordedServiceCrashes = 16;
/// Longest time for which a request that crashes its upstream is there before: until it begins to run, or to write its answer.
constexpr std::chrono::seconds LongestPresence{2};

std::optional<std::uint64_t> presentMs(std::optional<Duration> present)
{
    return present ? std::optional(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(*present).count())) : std::nullopt;
}

}

std::vector<CrashReport> CrashQuarantine::latestCrashes(const Suspect &suspect, TimePoint now)
{
    std::vector<CrashReport> latest;
    for (auto crash = suspect.crashes.rbegin(); crash != suspect.crashes.rend() && latest.size() < MaxRecordedCrashes; ++crash) {
        latest.push_back({crash->instance, millisecondsBetween(crash->at, now), presentMs(crash->present)});
    }
    return latest;
}

std::vector<SuspectId> CrashQuarantine::suspectsInQuarantine() const
{
    std::vector<SuspectId> ids;
    for (const auto &[id, suspect] : m_suspects) {
        if (suspect.quarantined) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<SuspectId> CrashQuarantine::suspectsInQuarantine(const RequestTraits &request) const
{
    std::vector<SuspectId> ids = suspectsOf(request);
    std::erase_if(ids, [this](SuspectId id) {
        const auto found = m_suspects.find(id);
        return found == m_suspects.end() || !found->second.quarantined;
    });
    return ids;
}

std::optional<VerdictRecord> CrashQuarantine::verdict(SuspectId id, TimePoint now) const
{
    const auto found = m_suspects.find(id);
    if (found == m_suspects.end() || !found->second.quarantined) {
        return std::nullopt;
    }
    const Suspect &suspect = found->second;
    VerdictRecord record;
    record.report = {id, suspect.service, latestCrashes(suspect, now), true, std::nullopt};
    record.failedTrials = suspect.crashes.size() - std::min(suspect.crashes.size(), suspect.crashesWhenQuarantined);
    if (suspect.lastTrial) {
        record.trialAgeMs = millisecondsBetween(*suspect.lastTrial, now);
    }
    return record;
}

bool CrashQuarantine::observedCrash(SuspectId id) const
{
    const auto found = m_suspects.find(id);
    return found != m_suspects.end() && std::ranges::any_of(found->second.crashes, &Crash::observedHere);
}

EvidenceRecord CrashQuarantine::evidence(TimePoint now) const
{
    std::vector<const std::pair<const SuspectId, Suspect> *> suspected;
    for (const std::pair<const SuspectId, Suspect> &entry : m_suspects) {
        const std::vector<Crash> &crashes = entry.second.crashes;
        const auto isEarly = [](const Crash &crash) { return crash.present.value_or(Duration::max()) <= LongestPresence; };
        const bool observed = std::ranges::any_of(crashes, &Crash::observedHere) && now - crashes.back().at <= SuspicionLifetime;
        if (!entry.second.quarantined && observed && std::ranges::all_of(crashes, isEarly)) {
            suspected.push_back(&entry);
        }
    }
    std::ranges::stable_sort(suspected, {}, [](const std::pair<const SuspectId, Suspect> *entry) {
        const std::vector<Crash> &crashes = entry->second.crashes;
        return std::pair(-static_cast<std::int64_t>(crashes.size()), crashes.back().present.value_or(Duration::max()));
    });
    suspected.resize(std::min(suspected.size(), MaxRecordedSuspects));

    EvidenceRecord record;
    std::map<std::string, TimePoint> firstCrashes;
    for (const std::pair<const SuspectId, Suspect> *entry : suspected) {
        const Suspect &suspect = entry->second;
        record.suspects.push_back({entry->first, suspect.service, latestCrashes(suspect, now), false, std::nullopt});
        const auto [first, isNew] = firstCrashes.try_emplace(suspect.service, suspect.firstCrashAt);
        first->second = std::min(first->second, suspect.firstCrashAt);
    }
    for (const auto &[service, since] : firstCrashes) {
        ServiceEvidence &evidence = record.services[service];
        if (const auto answers = m_answers.find(service); answers != m_answers.end()) {
            std::tie(evidence.broken, evidence.complete) = answers->second.counts(since, now);
        }
        const auto crashes = m_crashes.find(service);
        if (crashes == m_crashes.end()) {
            continue;
        }
        for (auto crash = crashes->second.rbegin(); crash != crashes->second.rend() && evidence.crashes.size() < MaxRecordedServiceCrashes; ++crash) {
            if (crash->at >= since - CrashMergeTime) {
                evidence.crashes.push_back({crash->instance, millisecondsBetween(crash->at, now), std::nullopt});
            }
        }
    }
    return record;
}

void CrashQuarantine::restore(const VerdictRecord &record, Duration age, TimePoint now)
{
    if (record.report.crashes.empty()) {
        return;
    }
    Suspect &suspect = m_suspects[record.report.id];
    suspect.service = record.report.service;
    restoreCrashes(suspect, record.report, age, now);
    if (record.trialAgeMs) {
        const TimePoint trial = timeOf(*record.trialAgeMs, now) - age;
        suspect.lastTrial = std::max(suspect.lastTrial.value_or(trial), trial);
        suspect.trialUntold = !suspect.crashes.empty() && *suspect.lastTrial > suspect.crashes.back().at;
    }
    if (!suspect.quarantined && suspect.crashes.size() >= MinCrashes) {
        suspect.quarantined = true;
        suspect.crashesWhenQuarantined = suspect.crashes.size() - std::min<std::size_t>(suspect.crashes.size(), record.failedTrials);
        m_listener(record.report.id, SuspectChange::Restored, suspect.crashes.size());
    }
    limitSuspects();
}

void CrashQuarantine::restore(const EvidenceRecord &record, Duration age, TimePoint now)
{
    if (age > SuspicionLifetime) {
        return;
    }
    m_restoredAt = now;
    for (const auto &[service, evidence] : record.services) {
        m_answers[service].add(evidence.broken, evidence.complete, now - age);
        for (const CrashReport &crash : evidence.crashes) {
            noteServiceCrash(service, {crash.instance, timeOf(crash.ageMs, now) - age, std::nullopt, false, true});
        }
    }
    for (const SuspectReport &report : record.suspects) {
        Suspect &suspect = m_suspects[report.id];
        suspect.service = report.service;
        restoreCrashes(suspect, report, age, now);
    }
    limitSuspects();
}

void CrashQuarantine::restoreCrashes(Suspect &suspect, const SuspectReport &report, Duration age, TimePoint now)
{
    // The crashes in one record are told apart by one clock.
    const std::vector<Crash> known = suspect.crashes;
    for (const CrashReport &reported : report.crashes) {
        const std::optional<Duration> present = reported.presentMs ? std::optional<Duration>(limitedAge(*reported.presentMs)) : std::nullopt;
        const Crash crash{reported.instance, timeOf(reported.ageMs, now) - age, present, false, true};
        noteServiceCrash(report.service, crash);
        const bool isKnown = std::ranges::any_of(known, [&crash](const Crash &other) { return sameCrash(crash, other); });
        if (!isKnown && (!suspect.completedAt || crash.at > *suspect.completedAt)) {
            insertCrash(suspect, crash);
        }
    }
}

}
