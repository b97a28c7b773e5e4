#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/sharedread.h"
#include "gateway/internal/upstreamfollower.h"
#include "gateway/internal/versionrecords.h"
#include "streams/streamtypes.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemaryshift::gateway {

/// Finds out which software version began a stream that a caller resumes, and records in the platform's log which versions began the streams of this
/// host, so that they outlive it. Streams of the default version of a service need no record: a stream that no host has recorded is of that version, since
/// the streams of others are recorded before their first event is passed on. Used from the gateway's thread.
class StreamRegistry
{
public:
    StreamRegistry(GatewayContext &context, UpstreamFollower &upstreamFollower);

    /// Records versions and streams until the process ends; never returns.
    boost::asio::awaitable<void> run();
    /// The origin of the stream with this @p key, one of @p services; nothing when it is not known, as without a key. An uncertain origin has no
    /// version. Reads the platform's log when this host does not know the stream. A version that nobody has recorded for the stream counts only when
    /// the list of upstreams or the log has been read since this call, since another version may have joined unheard. @p longestStream: time after its
    /// first event for which callers may resume a stream.
    boost::asio::awaitable<std::optional<streams::Origin>> find(std::optional<streams::StreamKey> key, std::set<std::string> services, Duration longestStream);
    /// Whether a stream of this @p origin, which is about to begin here, would be taken for one of another version if this host ended.
    [[nodiscard]] bool needsRecord(const streams::Origin &origin) const;
    /// Whether it need not wait for its record: it would be taken so only if its upstream has restarted with a version that this host has not heard of.
    [[nodiscard]] bool mayBeRecordedBehind(const streams::Origin &origin) const;
    /// Has the stream with this @p key, which this host has noted, recorded while its events are passed on.
    void recordBehind(streams::StreamKey key, const boost::asio::any_io_executor &executor);
    /// Whether an append is likely to succeed now, so that a first event may wait for it.
    [[nodiscard]] bool canRecord() const;
    /// Records the stream with this @p key, which this host has noted. Returns whether it is recorded.
    boost::asio::awaitable<bool> record(streams::StreamKey key);
    /// Whether other hosts read the log, and would take streams that this host can't record for streams of the default version.
    [[nodiscard]] bool rejectedByLogAlone() const;

private:
    /// Has what this host knows recorded anew if the log was restored from a copy since the last call. Returns whether it was.
    bool noteRestoredLog();
    boost::asio::awaitable<void> recordWaiting();
    boost::asio::awaitable<bool> readOrigins();
    /// Appends the streams that wait for their record, and those of the services whose streams are recorded behind.
    boost::asio::awaitable<bool> recordOrigins();
    /// Services whose streams are recorded: a stream does not tell which of several versions, or of several services of a route, began it.
    std::set<std::string> recordedServices();
    /// The only origin that a stream of @p services can have; nothing when there are several.
    [[nodiscard]] std::optional<streams::Origin> soleOrigin(const std::set<std::string> &services) const;
    /// Returns whether the list and the versions are known as they were after this call began.
    boost::asio::awaitable<bool> refreshVersions();
    /// Follows whether the log can be reached.
    void noteAvailability(TimePoint now);
    /// Follows whether some service has several versions.
    boost::asio::awaitable<void> noteMixedServices();
    /// The origin of a stream of @p services that the log, read to its end, has no record of; nothing when records may have been lost.
    boost::asio::awaitable<std::optional<streams::Origin>> defaultOrigin(std::set<std::string> services, Duration longestStream);
    [[nodiscard]] std::chrono::milliseconds writeInterval() const;

    GatewayContext &m_context;
    UpstreamFollower &m_upstreamFollower;
    VersionRecords m_versionRecords;
    SharedRead m_originsReader;
    SharedRead m_originsWriter;
    std::vector<streams::StreamKey> m_waiting;   ///< Streams that are to be recorded next, as for first events that wait.
    TimePoint m_recordedAt;                      ///< When the last append of streams began.
    TimePoint m_originsKnownSince;               ///< All streams that were recorded since then can be read, as far as is known.
    std::optional<std::uint64_t> m_firstLeft;    ///< Offset of the first record that was left when earlier ones had been dropped.
    bool m_appendFailed = false;                 ///< The last append of streams has failed.
    std::optional<TimePoint> m_unreachableSince; ///< When the log was first found unreachable; nothing while it is reachable.
    std::optional<TimePoint> m_unreachableAt;    ///< When the log was last found unreachable.
    bool m_knewMixed = true;                     ///< Some service may have had several versions when that was last looked at.
    ports::LogPosition m_originsPosition;        ///< Position of the next read of origins.
    std::uint64_t m_notedRises = 0;              ///< LogEraTracker::rises() at the last noteRestoredLog().
    std::set<std::string> m_splitServices;       ///< Services of resumable routes that have several, in the configuration with m_configurationVersion.
    std::uint64_t m_configurationVersion = 0;
};

}
