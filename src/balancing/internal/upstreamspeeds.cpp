#include "balancing/upstreamspeeds.h"

#include "balancing/internal/speedreport.h"
#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rosemaryshift::balancing {

namespace {

/// Age up to which a sample is used.
constexpr std::chrono::milliseconds SampleLifetime{4'000};
/// Age of an upstream's newest sample up to which its samples are told to other hosts: for two statuses or more.
constexpr std::chrono::milliseconds ToldFor{2'000};
/// Age at which a sample counts for half.
constexpr std::chrono::milliseconds SampleHalfLife{2'000};
/// Age up to which what an upstream states of the moment is used.
constexpr std::chrono::milliseconds StatementLifetime{600};
/// Time for which other hosts may not have learnt that an upstream is gone or has restarted.
constexpr std::chrono::milliseconds RestartLearnedWithin{2'000};
/// Time for which a computed mean is used.
constexpr std::chrono::milliseconds PooledLifetime{100};
/// Weight of the assumption that an upstream is an average one.
constexpr double PriorWeight = 1;
/// Greatest weight of what one host states of an upstream.
constexpr double MaxHostWeight = 2;
/// Greatest distance of a host's mean from the median of the hosts, as a factor.
constexpr double MaxFactorFromMedian = 2;
/// Range of a sample: something else than the upstream's speed makes greater differences.
constexpr double MaxRatio = 4;

struct Weighted {
    double value = 0;
    double weight = 0;
};

double weightedMedian(std::vector<Weighted> &all)
{
    std::ranges::sort(all, {}, &Weighted::value);
    double total = 0;
    for (const Weighted &item : all) {
        total += item.weight;
    }
    double below = 0;
    for (const Weighted &item : all) {
        below += item.weight;
        if (below >= total / 2) {
            return item.value;
        }
    }
    return 0;
}

double fraction(Duration part, Duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

}

UpstreamSpeeds::Key UpstreamSpeeds::keyOf(std::string_view instance)
{
    return static_cast<Key>(rendezvousWeight(0, instance));
}

void UpstreamSpeeds::addSample(std::string_view instance, double ratio, double weight, TimePoint now)
{
    if (!std::isfinite(ratio) || ratio <= 0 || weight <= 0) {
        return;
    }
    const Key key = keyOf(instance);
    std::deque<Sample> &samples = m_own[key].samples;
    while (!samples.empty() && now - samples.front().at > SampleLifetime) {
        samples.pop_front();
    }
    samples.push_back({now, std::log(std::clamp(ratio, 1 / MaxRatio, MaxRatio)), weight});
}

void UpstreamSpeeds::noteStated(std::string_view instance, double slowness, TimePoint now)
{
    if (std::isfinite(slowness) && slowness > 0) {
        m_own[keyOf(instance)].stated = Statement{std::clamp(slowness, 1 / MaxRatio, MaxRatio), now};
    }
}

std::optional<UpstreamSpeeds::View> UpstreamSpeeds::summary(const Own &own, TimePoint now)
{
    View view;
    double age = 0;
    for (const Sample &sample : own.samples) {
        if (now - sample.at <= SampleLifetime) {
            view.weight += sample.weight;
            view.logRatio += sample.weight * sample.logRatio;
            age += sample.weight * static_cast<double>((now - sample.at).count());
        }
    }
    if (own.stated && now - own.stated->at <= StatementLifetime) {
        view.stated = own.stated;
    }
    if (view.weight <= 0) {
        view.at = now;
        return view.stated ? std::optional(view) : std::nullopt;
    }
    view.logRatio /= view.weight;
    view.at = now - Duration(static_cast<Duration::rep>(age / view.weight));
    return view;
}

double UpstreamSpeeds::slowness(std::string_view instance, TimePoint now) const
{
    const Key key = keyOf(instance);
    Pooled &cached = m_cache[key];
    if (now >= cached.until) {
        cached = {pooled(key, now), now + PooledLifetime};
    }
    return cached.slowness;
}

double UpstreamSpeeds::pooled(Key key, TimePoint now) const
{
    std::vector<Weighted> all{{0, PriorWeight}};
    const auto add = [&all, now](const View &view) {
        const Duration age = now - view.at;
        if (view.weight > 0 && age <= SampleLifetime) {
            all.push_back({view.logRatio, std::min(view.weight, MaxHostWeight) * std::exp2(-fraction(age, SampleHalfLife))});
        }
    };
    if (const auto own = m_own.find(key); own != m_own.end()) {
        if (const std::optional<View> view = summary(own->second, now)) {
            add(*view);
        }
    }
    if (const auto peers = m_peers.find(key); peers != m_peers.end()) {
        std::ranges::for_each(peers->second, add);
    }
    const double median = weightedMedian(all);
    const double distance = std::log(MaxFactorFromMedian);
    double sum = 0;
    double weight = 0;
    for (const Weighted &item : all) {
        sum += item.weight * std::clamp(item.value, median - distance, median + distance);
        weight += item.weight;
    }
    return std::exp(sum / weight);
}

double UpstreamSpeeds::momentarySlowness(std::string_view instance, TimePoint now) const
{
    const Key key = keyOf(instance);
    std::vector<Weighted> all;
    double freshest = 0;
    const auto add = [&all, &freshest, now](const std::optional<Statement> &stated) {
        const double freshness = stated ? 1 - fraction(now - stated->at, StatementLifetime) : 0;
        if (freshness > 0) {
            all.push_back({std::log(stated->slowness), freshness});
            freshest = std::max(freshest, std::min(freshness, 1.0));
        }
    };
    if (const auto own = m_own.find(key); own != m_own.end()) {
        add(own->second.stated);
    }
    if (const auto peers = m_peers.find(key); peers != m_peers.end()) {
        for (const View &view : peers->second) {
            add(view.stated);
        }
    }
    return all.empty() ? 1 : std::exp(freshest * weightedMedian(all));
}

void UpstreamSpeeds::forgetUpstream(std::string_view instance, TimePoint now)
{
    const Key key = keyOf(instance);
    m_cache.erase(key);
    std::erase_if(m_ignoredUntil, [now](const std::pair<const Key, TimePoint> &ignored) { return ignored.second <= now; });
    if (m_own.erase(key) + m_peers.erase(key) > 0) {
        m_ignoredUntil[key] = now + RestartLearnedWithin;
    }
}

std::string UpstreamSpeeds::content(TimePoint now)
{
    std::vector<SpeedEntry> entries;
    for (auto own = m_own.begin(); own != m_own.end();) {
        const std::optional<View> view = summary(own->second, now);
        if (!view) {
            m_cache.erase(own->first);
            own = m_own.erase(own);
            continue;
        }
        if (!view->stated && (own->second.samples.empty() || now - own->second.samples.back().at > ToldFor)) {
            ++own;
            continue;
        }
        SpeedEntry entry{own->first, view->logRatio, view->weight, now - view->at, std::nullopt, Duration(0)};
        if (view->stated) {
            entry.statedSlowness = view->stated->slowness;
            entry.statedAge = now - view->stated->at;
        }
        entries.push_back(entry);
        ++own;
    }
    return encodedSpeedReport(std::move(entries));
}

bool UpstreamSpeeds::apply(std::string_view hostStart, std::string_view content, TimePoint now)
{
    const std::optional<std::vector<SpeedEntry>> entries = decodedSpeedReport(content);
    if (!entries) {
        return false;
    }
    std::vector<Key> &keys = m_keysOfHost[std::string(hostStart)];
    std::erase_if(keys, [this, hostStart, now](Key key) { return dropView(hostStart, key, true, now); });
    for (const SpeedEntry &entry : *entries) {
        if (dropView(hostStart, entry.upstream, false, now)) {
            std::erase(keys, entry.upstream);
        }
        const auto ignored = m_ignoredUntil.find(entry.upstream);
        if (ignored != m_ignoredUntil.end() && now < ignored->second) {
            continue;
        }
        View view{std::string(hostStart), entry.logRatio, entry.weight, now - entry.age, std::nullopt};
        if (entry.statedSlowness) {
            view.stated = Statement{std::clamp(*entry.statedSlowness, 1 / MaxRatio, MaxRatio), now - entry.statedAge};
        }
        m_peers[entry.upstream].push_back(std::move(view));
        keys.push_back(entry.upstream);
    }
    return true;
}

void UpstreamSpeeds::forgetHost(std::string_view hostStart)
{
    const auto known = m_keysOfHost.find(hostStart);
    if (known == m_keysOfHost.end()) {
        return;
    }
    for (const Key key : known->second) {
        dropView(hostStart, key, false, TimePoint());
    }
    m_keysOfHost.erase(known);
}

bool UpstreamSpeeds::expired(const View &view, TimePoint now)
{
    return now - view.at > SampleLifetime && (!view.stated || now - view.stated->at > StatementLifetime);
}

bool UpstreamSpeeds::dropView(std::string_view hostStart, Key key, bool onlyExpired, TimePoint now)
{
    const auto views = m_peers.find(key);
    if (views == m_peers.end()) {
        return true;
    }
    const auto view = std::ranges::find(views->second, hostStart, &View::host);
    if (view == views->second.end()) {
        return true;
    }
    if (onlyExpired && !expired(*view, now)) {
        return false;
    }
    views->second.erase(view);
    if (views->second.empty()) {
        m_peers.erase(views);
    }
    return true;
}

}
