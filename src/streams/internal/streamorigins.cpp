#include "streams/streamorigins.h"

#include <algorithm>

namespace rosemaryshift::streams {

namespace {

/// Time after its beginning for which callers may resume a stream; longer than the deadlines of requests.
constexpr std::chrono::seconds StreamLifetime{120};
/// Upper bound on the known streams; the earliest are forgotten first.
constexpr std::size_t MaxStreams = 100'000;

}

void StreamOrigins::noteBegan(StreamKey key, const Origin &origin, const std::string &instance, TimePoint now)
{
    const auto [entry, isNew] = m_streams.try_emplace(key);
    Stream &stream = entry->second;
    if (!isNew && stream.origin != origin) {
        markUncertain(key, stream); // The caller has used the attempt's id twice.
        return;
    }
    stream.origin = origin;
    stream.instance = instance;
    stream.began = now;
    keep(key, stream, now);
    queueForRecording(key, stream);
}

void StreamOrigins::queueForRecording(StreamKey key, Stream &stream)
{
    if (!stream.unrecorded) {
        stream.unrecorded = true;
        m_unrecorded[stream.origin.service].push_back(key);
    }
}

void StreamOrigins::noteRun(const std::string &instance, const std::string &softwareVersion, TimePoint since)
{
    for (auto &[key, stream] : m_streams) {
        if (stream.instance == instance && stream.began >= since && stream.origin.softwareVersion != softwareVersion) {
            markUncertain(key, stream);
        }
    }
}

void StreamOrigins::apply(const OriginReport &report, TimePoint now)
{
    for (const auto &[service, versions] : report.streams) {
        for (const auto &[version, keys] : versions) {
            const Origin origin{service, version};
            for (const StreamKey key : keys) {
                const auto [entry, isNew] = m_streams.try_emplace(key);
                if (isNew) {
                    entry->second.origin = origin;
                    keep(key, entry->second, now);
                } else if (entry->second.origin != origin) {
                    entry->second.origin.softwareVersion.clear();
                }
            }
        }
    }
}

void StreamOrigins::renew(StreamKey key, TimePoint now)
{
    const auto found = m_streams.find(key);
    if (found != m_streams.end()) {
        keep(key, found->second, now);
    }
}

void StreamOrigins::keep(StreamKey key, Stream &stream, TimePoint now)
{
    stream.keptUntil = now + StreamLifetime;
    m_expiry.emplace_back(stream.keptUntil, key);
}

void StreamOrigins::markUncertain(StreamKey key, Stream &stream)
{
    if (stream.origin.certain()) {
        stream.origin.softwareVersion.clear();
        queueForRecording(key, stream);
    }
}

void StreamOrigins::expire(TimePoint now)
{
    while (!m_expiry.empty() && (m_expiry.front().first <= now || m_streams.size() > MaxStreams)) {
        const auto found = m_streams.find(m_expiry.front().second);
        const bool renewed = found != m_streams.end() && found->second.keptUntil > m_expiry.front().first;
        if (found != m_streams.end() && !renewed) {
            m_streams.erase(found);
        }
        m_expiry.pop_front();
    }
    for (auto &[service, keys] : m_unrecorded) {
        while (!keys.empty() && !m_streams.contains(keys.front())) {
            keys.pop_front();
        }
    }
}

std::optional<Origin> StreamOrigins::find(StreamKey key) const
{
    const auto found = m_streams.find(key);
    return found == m_streams.end() ? std::nullopt : std::optional(found->second.origin);
}

bool StreamOrigins::isRecorded(StreamKey key) const
{
    const auto found = m_streams.find(key);
    return found != m_streams.end() && !found->second.unrecorded;
}

bool StreamOrigins::hasUnrecorded(const std::string &service) const
{
    const auto found = m_unrecorded.find(service);
    return found != m_unrecorded.end() && !found->second.empty();
}

OriginReport StreamOrigins::unrecorded(const std::set<std::string> &services, std::size_t most) const
{
    OriginReport report;
    std::size_t count = 0;
    for (const auto &[service, keys] : m_unrecorded) {
        if (!services.contains(service)) {
            continue;
        }
        for (auto key = keys.begin(); key != keys.end() && count < most; ++key) {
            const auto found = m_streams.find(*key);
            if (found != m_streams.end()) {
                report.add(*key, found->second.origin);
                ++count;
            }
        }
    }
    return report;
}

OriginReport StreamOrigins::report(std::span<const StreamKey> keys) const
{
    OriginReport report;
    for (const StreamKey key : keys) {
        const auto found = m_streams.find(key);
        if (found != m_streams.end()) {
            report.add(key, found->second.origin);
        }
    }
    return report;
}

void StreamOrigins::noteRecorded(const OriginReport &report)
{
    for (const auto &[service, versions] : report.streams) {
        std::set<StreamKey> recorded;
        for (const auto &[version, keys] : versions) {
            for (const StreamKey key : keys) {
                const auto found = m_streams.find(key);
                if (found != m_streams.end() && found->second.origin == Origin{service, version}) { // Else it changed while the report was being recorded.
                    found->second.unrecorded = false;
                    recorded.insert(key);
                }
            }
        }
        std::erase_if(m_unrecorded[service], [&recorded](StreamKey key) { return recorded.contains(key); });
    }
}

void StreamOrigins::noteRecordsLost()
{
    for (const auto &[time, key] : m_expiry) {
        const auto found = m_streams.find(key);
        if (found != m_streams.end() && !found->second.instance.empty()) {
            queueForRecording(key, found->second);
        }
    }
}

std::size_t StreamOrigins::size() const
{
    return m_streams.size();
}

}
