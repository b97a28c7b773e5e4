#include "quarantine/crashquarantine.h"
#include "quarantine/internal/evidencelimits.h"

#include <boost/math/distributions/binomial.hpp>

#include <algorithm>
#include <cmath>

namespace rosemaryshift::quarantine {

namespace {

/// Largest probability that the crashes of a suspect are a coincidence at which it is quarantined.
constexpr double MaxCoincidence = 0.01;
/// Part of the crashes of a service that have to have hit equal requests for these to be quarantined. Long requests meet more crashes than short ones,
/// so that the share of other requests that broke does not suffice.
constexpr double MinPartOfCrashes = 0.5;
/// The same when so many other requests broke that their share tells nothing, as while all upstreams of a service are down.
constexpr double MinPartWithoutAnswers = 0.75;
/// The same when only the crashes tell: a report has to reach a host that answers such a request, and the answer to be reported back.
constexpr int CrashObservationIntervals = 3;
/// Time for which a suspect was in progress, as a multiple of that of all requests, beyond which this host has seen too little of the upstreams to judge.
constexpr double MaxPresence = 3;
/// Time at an upstream, in seconds, with which the presence at all of them counts beside that at this one.
constexpr double SharedWeight = 1;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

}

std::map<std::string_view, std::size_t> CrashQuarantine::laterCrashes(const Suspect &suspect) const
{
    std::map<std::string_view, std::size_t> counts;
    const auto crashes = m_crashes.find(suspect.service);
    if (crashes == m_crashes.end()) {
        return counts;
    }
    const Crash &first = suspect.crashes.front();
    for (const Crash &crash : crashes->second) {
        if (crash.at >= first.at - CrashMergeTime && !sameCrash(crash, first)) {
            ++counts[crash.instance];
        }
    }
    return counts;
}

std::optional<double> CrashQuarantine::coincidence(const Suspect &suspect) const
{
    const auto presence = m_presence.find(suspect.service);
    if (suspect.crashes.size() < MinCrashes || presence == m_presence.end()) {
        return std::nullopt;
    }
    const Crash &first = suspect.crashes.front();
    const std::size_t hosts = m_otherHosts.size() + 1;
    double suspected = 0;
    std::map<std::string_view, double> suspectedAt;
    // Times are counted in whole seconds.
    const TimePoint since = std::chrono::floor<std::chrono::seconds>(first.at);
    for (const Crash &crash : suspect.crashes) {
        if (!crash.present) {
            return std::nullopt;
        }
        const double present = seconds(std::min(*crash.present, crash.at - since));
        suspected += present;
        suspectedAt[crash.instance] += present;
    }
    const double busy = seconds(presence->second.busy(first.at, hosts));
    if (busy <= 0 || suspected > MaxPresence * busy) {
        return std::nullopt;
    }
    const double sharedTime = SharedWeight * suspected / busy;
    const std::map<std::string_view, std::size_t> crashesAt = laterCrashes(suspect);
    double expected = 0;
    std::size_t others = 0;
    for (const auto &[instance, count] : crashesAt) {
        others += count;
        const double busyHere = seconds(presence->second.busyAt(instance, first.at, hosts));
        expected += static_cast<double>(count) * std::min(1.0, (suspectedAt[instance] + sharedTime) / (busyHere + SharedWeight));
    }
    const std::size_t met = suspect.crashes.size() - 1;
    if (others == 0) {
        return std::nullopt;
    }
    using Binomial = boost::math::binomial_distribution<double, boost::math::policies::policy<boost::math::policies::promote_double<false>>>;
    const Binomial coincidences(static_cast<double>(std::max(others, met)), expected / static_cast<double>(others));
    return boost::math::cdf(boost::math::complement(coincidences, static_cast<double>(met - 1)));
}

bool CrashQuarantine::isPresentTooOften(const Suspect &suspect, TimePoint now) const
{
    if (suspect.crashes.size() < MinCrashes || observedTime(suspect, now) < ObservationIntervals * m_reportInterval) {
        return false;
    }
    return coincidence(suspect).value_or(1) <= MaxCoincidence / static_cast<double>(m_suspects.size());
}

bool CrashQuarantine::isUnlikelyCoincidence(const Suspect &suspect, TimePoint now) const
{
    static const AnswerHistory None;
    const auto found = m_answers.find(suspect.service);
    const AnswerHistory &answers = found == m_answers.end() ? None : found->second;
    const double probability = std::pow(answers.brokenShare(suspect.firstCrashAt, now), static_cast<double>(suspect.crashes.size()));
    const std::optional<double> byPresence = probability <= MaxCoincidence ? coincidence(suspect) : std::nullopt;
    return byPresence.value_or(probability) <= MaxCoincidence / static_cast<double>(m_suspects.size());
}

bool CrashQuarantine::isCauseOfCrashes(const Suspect &suspect, bool unlikelyCoincidence, Duration observed) const
{
    const TimePoint since = suspect.crashes.front().at - CrashMergeTime;
    const auto found = m_crashes.find(suspect.service);
    if (found == m_crashes.end()) {
        return false;
    }
    const std::ptrdiff_t all = std::ranges::count_if(found->second, [since](const Crash &crash) { return crash.at >= since; });
    const double part = static_cast<double>(suspect.crashes.size()) / static_cast<double>(std::max<std::ptrdiff_t>(all, 1));
    return (unlikelyCoincidence && part >= MinPartOfCrashes) || (observed >= CrashObservationIntervals * m_reportInterval && part >= MinPartWithoutAnswers);
}

}
