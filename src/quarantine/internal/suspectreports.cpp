#include "quarantine/crashquarantine.h"
#include "quarantine/internal/evidencelimits.h"
#include "quarantine/internal/reportages.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace rosemaryshift::quarantine {

namespace {

/// Crashes of each suspect that are sent to the other hosts at a time, and the age up to which a host sends those that it saw itself: the longer of a time
/// and of a number of intervals of reports.
constexpr std::size_t MaxReportedCrashes = 6;
constexpr std::chrono::seconds ReportedCrashAge{3};
constexpr int ReportedCrashIntervals = 2;
/// Upper bound on the suspects with crashes that are sent to the other hosts at a time, and on those with complete answers alone.
constexpr std::size_t MaxReports = 12;
constexpr std::size_t MaxCompletionReports = 12;

}

std::vector<SuspectReport> CrashQuarantine::reports(TimePoint now) const
{
    std::vector<SuspectReport> reports;
    std::vector<SuspectReport> completions;
    for (const auto &[id, suspect] : m_suspects) {
        SuspectReport report{id, suspect.service, reportedCrashes(suspect, now), suspect.quarantined, std::nullopt};
        if (suspect.completedHere && suspect.completedAt && now - *suspect.completedAt <= completionLifetime()) {
            report.completedAgeMs = millisecondsBetween(*suspect.completedAt, now);
        }
        if (!report.crashes.empty()) {
            reports.push_back(std::move(report));
        } else if (report.completedAgeMs) {
            completions.push_back(std::move(report));
        }
    }
    // Among equals, a request that crashes its upstream is hardly ever there for longer than until it begins to run.
    std::ranges::stable_sort(reports, std::ranges::greater(), [](const SuspectReport &report) {
        const std::int64_t presentMs = static_cast<std::int64_t>(report.crashes.front().presentMs.value_or(std::numeric_limits<std::int32_t>::max()));
        return std::tuple(report.quarantined, report.crashes.size(), -presentMs);
    });
    reports.resize(std::min(reports.size(), MaxReports));
    std::ranges::stable_sort(completions, {}, &SuspectReport::completedAgeMs);
    completions.resize(std::min(completions.size(), MaxCompletionReports));
    std::ranges::move(completions, std::back_inserter(reports));
    return reports;
}

std::vector<CrashReport> CrashQuarantine::reportedCrashes(const Suspect &suspect, TimePoint now) const
{
    const Duration ownAge = std::max<Duration>(ReportedCrashAge, ReportedCrashIntervals * m_reportInterval);
    std::vector<CrashReport> reported;
    for (auto crash = suspect.crashes.rbegin(); crash != suspect.crashes.rend() && reported.size() < MaxReportedCrashes; ++crash) {
        // A host that has just started needs some crashes of a suspect to accept that it is in quarantine.
        const bool needed = suspect.quarantined && reported.size() <= MinCrashes;
        const bool own = crash->observedHere && now - crash->at <= ownAge;
        if (needed || own) {
            const std::optional<Duration> present = crash->present;
            reported.push_back({crash->instance,
                                millisecondsBetween(crash->at, now),
                                present ? std::optional(millisecondsBetween(crash->at - *present, crash->at)) : std::nullopt});
        }
    }
    return reported;
}

void CrashQuarantine::apply(std::span<const SuspectReport> reports, TimePoint now)
{
    for (const SuspectReport &report : reports) {
        Suspect &suspect = m_suspects[report.id];
        suspect.service = report.service;
        if (report.completedAgeMs) {
            complete(report.id, suspect, timeOf(*report.completedAgeMs, now));
        }
        const std::size_t known = suspect.crashes.size();
        for (const CrashReport &reported : report.crashes) {
            const std::optional<Duration> present = reported.presentMs ? std::optional<Duration>(limitedAge(*reported.presentMs)) : std::nullopt;
            const Crash crash{reported.instance, timeOf(reported.ageMs, now), present, false};
            noteServiceCrash(report.service, crash);
            addCrash(suspect, crash);
        }
        if (report.quarantined && !suspect.quarantined && suspect.crashes.size() >= MinCrashes) {
            quarantine(report.id, suspect);
        }
        // What only time changes is judged by update().
        if (suspect.crashes.size() > known) {
            judge(report.id, suspect, now);
        }
    }
    limitSuspects();
}

}
