#include "rollouts/evidence.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace rosemaryshift::rollouts {

namespace {

/// Times below this one are in the first class.
constexpr double FirstClassMs = 4;
/// Largest part of the earlier versions' answers that may lie above the time from which answers are compared.
constexpr double SlowPart = 0.25;
/// Answers of the earlier versions that are needed before times are compared.
constexpr std::uint64_t MinTimedBefore = 20;
/// Failures of a sound version, as part of its answers, when the earlier versions fail less often than this.
constexpr double UsualFailurePart = 0.005;
/// Slow answers of a sound version, as part of its answers, when the earlier versions are slow less often than this.
constexpr double UsualSlowPart = 0.01;
/// Fewest bad answers that make a version bad, and that raise a doubt.
constexpr double MinBadAnswers = 5;
constexpr double MinDoubtfulAnswers = 3;
/// A version is bad, or doubtful, when its bad answers exceed the expected number by this number of standard deviations.
constexpr double BadDeviations = 3.5;
constexpr double DoubtfulDeviations = 2.5;
/// From this number of bad answers on they count also when a single upstream gave them.
constexpr double MinOfOneUpstream = 25;
constexpr std::uint32_t BitsOfInstances = 32;

std::uint32_t hashOf(std::string_view text)
{
    std::uint32_t hash = 2'166'136'261U; // FNV-1a
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 16'777'619U;
    }
    return hash;
}

/// Whether @p bad answers are @p deviations standard deviations more than the @p expected ones.
bool exceeds(double bad, double expected, double deviations)
{
    return bad > expected + deviations * std::sqrt(expected + 0.25);
}

bool raisesDoubt(double bad, double expected)
{
    return bad >= MinDoubtfulAnswers && exceeds(bad, expected, DoubtfulDeviations);
}

Verdict verdictOnFailures(double failures, double expected, bool severalUpstreams)
{
    if (failures >= (severalUpstreams ? MinBadAnswers : MinOfOneUpstream) && exceeds(failures, expected, BadDeviations)) {
        return Verdict::Bad;
    }
    return raisesDoubt(failures, expected) ? Verdict::Doubtful : Verdict::Sound;
}

/// @p slow: answers that are slow. @p muchSlower: those that are slow although a class is added to the time from which answers count as slow.
Verdict verdictOnTimes(double slow, double muchSlower, double expected)
{
    if (muchSlower >= MinBadAnswers && exceeds(muchSlower, expected, BadDeviations)) {
        return Verdict::Bad;
    }
    return raisesDoubt(slow, expected) ? Verdict::Doubtful : Verdict::Sound;
}

double part(std::uint64_t count, std::uint64_t of)
{
    return static_cast<double>(count) / static_cast<double>(std::max<std::uint64_t>(of, 1));
}

Verdict verdictOn(const RouteCounts &counts, bool severalUpstreams)
{
    const std::uint64_t timed = counts.rolledOut.timed();
    const std::uint64_t timedBefore = counts.before.timed();
    const double failurePart = part(counts.before.failures, counts.before.failures + timedBefore);
    const double answers = static_cast<double>(timed + counts.rolledOut.failures);
    Verdict worst = verdictOnFailures(counts.rolledOut.failures, answers * std::max(failurePart, UsualFailurePart), severalUpstreams);
    for (std::size_t first = slowClass(counts.before); first + 1 < TimeClasses; ++first) {
        const double slowPart = std::max(part(counts.before.atLeast(first), timedBefore), UsualSlowPart);
        const double slow = static_cast<double>(counts.rolledOut.atLeast(first));
        const double muchSlower = static_cast<double>(counts.rolledOut.atLeast(first + 1));
        worst = std::max(worst, verdictOnTimes(slow, muchSlower, static_cast<double>(timed) * slowPart));
    }
    return worst;
}

}

std::size_t timeClass(Duration time)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    if (milliseconds < FirstClassMs) {
        return 0;
    }
    const double number = 2 * std::log2(milliseconds / FirstClassMs) + 1;
    return std::min(static_cast<std::size_t>(number), TimeClasses - 1);
}

std::uint32_t routeNumber(std::string_view route)
{
    return hashOf(route);
}

std::uint32_t instanceBit(std::string_view instance)
{
    return 1U << (hashOf(instance) % BitsOfInstances);
}

void AnswerCounts::add(const AnswerCounts &other)
{
    failures += other.failures;
    for (std::size_t number = 0; number < TimeClasses; ++number) {
        times[number] += other.times[number];
    }
}

std::uint64_t AnswerCounts::timed() const
{
    return atLeast(0);
}

std::uint64_t AnswerCounts::atLeast(std::size_t first) const
{
    std::uint64_t sum = 0;
    for (std::size_t number = first; number < TimeClasses; ++number) {
        sum += times[number];
    }
    return sum;
}

void Evidence::add(const Evidence &other)
{
    requests += other.requests;
    exposed += other.exposed;
    failedUpstreams |= other.failedUpstreams;
    for (const auto &[route, counts] : other.routes) {
        routes[route].before.add(counts.before);
        routes[route].rolledOut.add(counts.rolledOut);
    }
}

std::uint64_t Evidence::answers() const
{
    std::uint64_t sum = 0;
    for (const auto &[route, counts] : routes) {
        sum += counts.rolledOut.timed() + counts.rolledOut.failures;
    }
    return sum;
}

std::uint64_t Evidence::failures() const
{
    std::uint64_t sum = 0;
    for (const auto &[route, counts] : routes) {
        sum += counts.rolledOut.failures;
    }
    return sum;
}

Verdict verdict(const Evidence &evidence, std::size_t upstreams)
{
    const bool severalUpstreams = std::popcount(evidence.failedUpstreams) > 1 || upstreams == 1;
    RouteCounts failures; ///< Of all routes; times of different routes are not comparable.
    Verdict worst = Verdict::Sound;
    for (const auto &[route, counts] : evidence.routes) {
        worst = std::max(worst, verdictOn(counts, severalUpstreams));
        failures.before.failures += counts.before.failures;
        failures.before.times[0] += static_cast<std::uint32_t>(counts.before.timed());
        failures.rolledOut.failures += counts.rolledOut.failures;
        failures.rolledOut.times[0] += static_cast<std::uint32_t>(counts.rolledOut.timed());
    }
    return std::max(worst, verdictOn(failures, severalUpstreams));
}

std::size_t slowClass(const AnswerCounts &before)
{
    const std::uint64_t timed = before.timed();
    if (timed < MinTimedBefore) {
        return TimeClasses;
    }
    std::size_t first = 0;
    while (first < TimeClasses && part(before.atLeast(first), timed) > SlowPart) {
        ++first;
    }
    return first;
}

}
