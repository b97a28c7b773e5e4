#include "quarantine/crashquarantine.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::quarantine {

namespace {

/// Crashes below which a part is never quarantined.
constexpr std::size_t MinCrashes = 3;
/// Crashes kept for each part; further ones only move the time of the last one. While most answers break, many are needed for a decision.
constexpr std::size_t MaxCrashes = 64;
/// Crashes of each part that are sent to the other hosts at a time, and the age up to which a host sends those that it saw itself.
constexpr std::size_t MaxReportedCrashes = 6;
constexpr std::chrono::seconds ReportedCrashAge{3};
/// Largest probability that the crashes of a part are a coincidence at which it is quarantined.
constexpr double MaxCoincidence = 0.01;
/// Time from the first crash of a part until it can be quarantined, for complete answers on other hosts to be heard of.
constexpr std::chrono::milliseconds MinObservation{800};
/// Two breaks at one upstream within this time are one crash, also when different hosts saw them.
constexpr std::chrono::seconds CrashMergeTime{1};
/// Time without requests after the last crash until the first trial, doubled with each crash beyond the first few, and its upper bound.
constexpr std::chrono::seconds FirstHold{30};
constexpr std::chrono::seconds LongestHold{600};
/// Time between two trials, within which the answer to the first is known.
constexpr std::chrono::seconds TrialInterval{15};
/// Least time for which a caller is told to wait while a part is in quarantine.
constexpr std::chrono::seconds MinWait{1};
/// Time after its last crash at which a part that is not in quarantine is no longer suspected.
constexpr std::chrono::seconds SuspicionLifetime{60};
/// Time after its last crash at which a part is released without a trial, for want of requests.
constexpr std::chrono::seconds QuarantineLifetime{1'800};
/// Time for which a complete answer is reported, and clears crashes that are reported later.
constexpr std::chrono::seconds CompletionLifetime{5};
/// Upper bounds on the parts that are kept, and on those sent to the other hosts at a time.
constexpr std::size_t MaxSuspects = 512;
constexpr std::size_t MaxReports = 12;

std::uint64_t millisecondsBetween(TimePoint earlier, TimePoint later)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(later - earlier).count()));
}

/// The time @p ageMs before @p now; ages beyond any lifetime are taken as that lifetime.
TimePoint timeOf(std::uint64_t ageMs, TimePoint now)
{
    constexpr std::uint64_t MaxAgeMs = std::chrono::milliseconds(QuarantineLifetime).count();
    return now - std::chrono::milliseconds(std::min(ageMs, MaxAgeMs));
}

/// Time for which a part with this many @p crashes is kept from the upstreams after the last of them.
Duration holdTime(std::size_t crashes)
{
    constexpr std::size_t MaxDoublings = 5; // Enough to reach the longest hold.
    const std::size_t doublings = std::min(crashes - std::min(crashes, MinCrashes), MaxDoublings);
    return std::min<Duration>(FirstHold * (1U << doublings), LongestHold);
}

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

void CrashQuarantine::noteBroken(std::span<const ports::PromptPart> parts, std::string_view instance, TimePoint now)
{
    if (parts.empty()) {
        return;
    }
    m_answers.note(true, now);
    for (const ports::PromptPart &part : parts) {
        Suspect &suspect = m_suspects[part.id];
        addCrash(suspect, {std::string(instance), now, true});
        judge(part.id, suspect, now);
    }
    limitSuspects();
}

void CrashQuarantine::noteCompleted(std::span<const ports::PromptPart> parts, TimePoint now)
{
    if (parts.empty()) {
        return;
    }
    m_answers.note(false, now);
    for (const ports::PromptPart &part : parts) {
        const auto found = m_suspects.find(part.id);
        if (found != m_suspects.end()) {
            complete(part.id, found->second, now);
            found->second.completedHere = true;
        }
    }
}

std::optional<Duration> CrashQuarantine::admit(std::span<const ports::PromptPart> parts, TimePoint now)
{
    std::vector<std::pair<std::uint64_t, Suspect *>> quarantined;
    for (const ports::PromptPart &part : parts) {
        const auto found = m_suspects.find(part.id);
        if (found != m_suspects.end() && found->second.quarantined) {
            quarantined.emplace_back(part.id, &found->second);
        }
    }
    if (quarantined.empty()) {
        return std::nullopt;
    }
    // Parts that came together in all crashes are told apart by a request that has only some of them, without waiting for the end of the hold.
    const bool ambiguous = std::ranges::all_of(quarantined, [this, parts](const auto &entry) { return isExplainedByOtherPart(*entry.second, parts); });
    Duration wait{0};
    for (const auto &[part, suspect] : quarantined) {
        if (!ambiguous) {
            wait = std::max(wait, suspect->crashes.back().at + holdTime(suspect->crashes.size()) - now);
        }
        if (suspect->lastTrial) {
            wait = std::max<Duration>(wait, *suspect->lastTrial + TrialInterval - now);
        }
    }
    // Parts that always come together are tried together after the hold, so that the first one decides which host does it.
    if (wait > Duration::zero() || (!ambiguous && !makesTrials(quarantined.front().first))) {
        return ambiguous ? Duration(MinWait) : std::max<Duration>(wait, MinWait);
    }
    for (const auto &[part, suspect] : quarantined) {
        suspect->lastTrial = now;
        m_listener(part, SuspectChange::Trial, suspect->crashes.size());
    }
    return std::nullopt;
}

bool CrashQuarantine::isExplainedByOtherPart(const Suspect &suspect, std::span<const ports::PromptPart> parts) const
{
    return std::ranges::any_of(m_suspects, [&suspect, parts](const std::pair<const std::uint64_t, Suspect> &other) {
        const bool inRequest = std::ranges::find(parts, other.first, &ports::PromptPart::id) != parts.end();
        return other.second.quarantined && !inRequest && std::ranges::all_of(suspect.crashes, [&other](const Crash &crash) {
                   return std::ranges::any_of(other.second.crashes, [&crash](const Crash &known) { return sameCrash(crash, known); });
               });
    });
}

void CrashQuarantine::update(TimePoint now)
{
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        Suspect &suspect = entry->second;
        judge(entry->first, suspect, now);
        const Duration lifetime = suspect.quarantined ? Duration(QuarantineLifetime) : Duration(SuspicionLifetime);
        if (!suspect.crashes.empty() && now - suspect.crashes.back().at > lifetime) {
            if (suspect.quarantined) {
                m_listener(entry->first, SuspectChange::Expired, suspect.crashes.size());
            }
            suspect = Suspect{};
        }
        const bool remembered = suspect.completedAt && now - *suspect.completedAt <= CompletionLifetime;
        entry = suspect.crashes.empty() && !remembered ? m_suspects.erase(entry) : std::next(entry);
    }
}

std::vector<SuspectReport> CrashQuarantine::reports(TimePoint now) const
{
    std::vector<SuspectReport> reports;
    for (const auto &[part, suspect] : m_suspects) {
        SuspectReport report{part, reportedCrashes(suspect, now), suspect.quarantined, std::nullopt};
        if (suspect.completedHere && suspect.completedAt && now - *suspect.completedAt <= CompletionLifetime) {
            report.completedAgeMs = millisecondsBetween(*suspect.completedAt, now);
        }
        if (!report.crashes.empty() || report.completedAgeMs) {
            reports.push_back(std::move(report));
        }
    }
    std::ranges::stable_sort(reports, std::ranges::greater(), [](const SuspectReport &report) { return std::pair(report.quarantined, report.crashes.size()); });
    reports.resize(std::min(reports.size(), MaxReports));
    return reports;
}

std::vector<CrashReport> CrashQuarantine::reportedCrashes(const Suspect &suspect, TimePoint now)
{
    std::vector<CrashReport> reported;
    for (auto crash = suspect.crashes.rbegin(); crash != suspect.crashes.rend() && reported.size() < MaxReportedCrashes; ++crash) {
        // A host that has just started needs some crashes of a part to accept that it is in quarantine.
        const bool needed = suspect.quarantined && reported.size() <= MinCrashes;
        const bool own = crash->observedHere && now - crash->at <= ReportedCrashAge;
        if (needed || own) {
            reported.push_back({crash->instance, millisecondsBetween(crash->at, now)});
        }
    }
    return reported;
}

void CrashQuarantine::apply(std::span<const SuspectReport> reports, TimePoint now)
{
    for (const SuspectReport &report : reports) {
        Suspect &suspect = m_suspects[report.part];
        if (report.completedAgeMs) {
            complete(report.part, suspect, timeOf(*report.completedAgeMs, now));
        }
        for (const CrashReport &crash : report.crashes) {
            addCrash(suspect, {crash.instance, timeOf(crash.ageMs, now), false});
        }
        if (report.quarantined && !suspect.quarantined && suspect.crashes.size() >= MinCrashes) {
            suspect.quarantined = true;
            m_listener(report.part, SuspectChange::Quarantined, suspect.crashes.size());
        }
        judge(report.part, suspect, now);
    }
    limitSuspects();
}

std::size_t CrashQuarantine::quarantinedParts() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_suspects, [](const auto &entry) { return entry.second.quarantined; }));
}

bool CrashQuarantine::sameCrash(const Crash &a, const Crash &b)
{
    return a.instance == b.instance && std::chrono::abs(a.at - b.at) < CrashMergeTime;
}

void CrashQuarantine::addCrash(Suspect &suspect, Crash crash)
{
    if (suspect.completedAt && crash.at <= *suspect.completedAt) {
        return;
    }
    const auto known = std::ranges::find_if(suspect.crashes, [&crash](const Crash &other) { return sameCrash(crash, other); });
    if (known != suspect.crashes.end()) {
        known->observedHere = known->observedHere || crash.observedHere;
        return;
    }
    if (suspect.crashes.size() == MaxCrashes) {
        crash.at = std::max(crash.at, suspect.crashes.back().at);
        suspect.crashes.pop_back();
    }
    suspect.crashes.push_back(std::move(crash));
    std::ranges::sort(suspect.crashes, {}, &Crash::at);
}

void CrashQuarantine::complete(std::uint64_t part, Suspect &suspect, TimePoint at)
{
    suspect.completedAt = std::max(suspect.completedAt.value_or(at), at);
    std::erase_if(suspect.crashes, [&suspect](const Crash &crash) { return crash.at <= *suspect.completedAt; });
    if (suspect.quarantined && suspect.crashes.size() < MinCrashes) {
        suspect.quarantined = false;
        suspect.lastTrial.reset();
        m_listener(part, SuspectChange::Released, suspect.crashes.size());
    }
}

void CrashQuarantine::judge(std::uint64_t part, Suspect &suspect, TimePoint now)
{
    if (suspect.quarantined || suspect.crashes.size() < MinCrashes || now - suspect.crashes.front().at < MinObservation) {
        return;
    }
    const double coincidence = std::pow(m_answers.brokenShare(suspect.crashes.front().at, now), static_cast<double>(suspect.crashes.size()));
    if (coincidence <= MaxCoincidence) {
        suspect.quarantined = true;
        m_listener(part, SuspectChange::Quarantined, suspect.crashes.size());
    }
}

void CrashQuarantine::limitSuspects()
{
    const auto importance = [](const std::pair<const std::uint64_t, Suspect> &entry) {
        const Suspect &suspect = entry.second;
        return std::pair(suspect.quarantined, suspect.crashes.empty() ? TimePoint() : suspect.crashes.back().at);
    };
    while (m_suspects.size() > MaxSuspects) {
        m_suspects.erase(std::ranges::min_element(m_suspects, {}, importance));
    }
}

bool CrashQuarantine::makesTrials(std::uint64_t part) const
{
    const std::uint64_t own = rendezvousWeight(part, m_ownHost);
    return std::ranges::none_of(m_otherHosts, [part, own](const std::string &host) { return rendezvousWeight(part, host) > own; });
}

}
