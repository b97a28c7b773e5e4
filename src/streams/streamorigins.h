#pragma once

#include "base/types.h"
#include "streams/originreport.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace rosemaryshift::streams {

/// Knows which software version began the streams that callers may still resume: those that this host has passed on, and those that it has learned
/// of from the others. Reports that contradict each other make an origin uncertain. Each call passes the current time. Not thread-safe.
class StreamOrigins
{
public:
    /// Notes that this host passes the first event of a stream on. @p instance: the upstream that sent it.
    void noteBegan(StreamKey key, const Origin &origin, const std::string &instance, TimePoint now);
    /// Notes that @p instance is listed as a run with version @p softwareVersion. Streams that it began at or after @p since, as another version by
    /// what this host knew, become uncertain: the list may have lagged behind its restart, or was not read.
    void noteRun(const std::string &instance, const std::string &softwareVersion, TimePoint since);
    /// Merges what another host tells.
    void apply(const OriginReport &report, TimePoint now);
    /// Keeps a stream for as long as one that has just begun.
    void renew(StreamKey key, TimePoint now);
    /// Forgets the streams that callers no longer resume.
    void expire(TimePoint now);

    /// The origin of a stream; nothing when it is not known here.
    [[nodiscard]] std::optional<Origin> find(StreamKey key) const;
    /// Whether the origin of a stream that this host has passed on is recorded as it is known here.
    [[nodiscard]] bool isRecorded(StreamKey key) const;
    /// Whether this host has passed streams of @p service on that are not recorded yet.
    [[nodiscard]] bool hasUnrecorded(const std::string &service) const;
    /// Streams of @p services that this host has passed on and that are not recorded yet; the earliest first, at most @p most.
    [[nodiscard]] OriginReport unrecorded(const std::set<std::string> &services, std::size_t most) const;
    /// The origins of the streams with these @p keys that are known here.
    [[nodiscard]] OriginReport report(std::span<const StreamKey> keys) const;
    /// Notes that @p report is recorded where the other hosts find it.
    void noteRecorded(const OriginReport &report);
    /// Notes that records may be lost: the streams that this host has passed on are recorded anew.
    void noteRecordsLost();
    /// Number of known streams.
    [[nodiscard]] std::size_t size() const;

private:
    struct Stream {
        Origin origin;
        std::string instance; ///< Empty when another host has passed the stream on.
        TimePoint began;
        TimePoint keptUntil;
        bool unrecorded = false; ///< Is in m_unrecorded.
    };

    void keep(StreamKey key, Stream &stream, TimePoint now);
    void markUncertain(StreamKey key, Stream &stream);
    void queueForRecording(StreamKey key, Stream &stream);

    std::unordered_map<StreamKey, Stream> m_streams;
    std::deque<std::pair<TimePoint, StreamKey>> m_expiry;      ///< Times at which streams may expire, the earliest first.
    std::map<std::string, std::deque<StreamKey>> m_unrecorded; ///< By service; may contain streams that have expired.
};

}
