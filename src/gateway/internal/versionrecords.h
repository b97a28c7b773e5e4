#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/sharedread.h"
#include "gateway/internal/upstreamfollower.h"
#include "streams/versionhistory.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace rosemaryshift::gateway {

/// Keeps the software versions of services in the platform's log, and which of them is the default version of its service: the one whose streams need no
/// record. A version is recorded as the default only while it is the only one known, by a conditional append, so that all hosts agree on it. Used from the
/// gateway's thread.
class VersionRecords
{
public:
    VersionRecords(GatewayContext &context, UpstreamFollower &upstreamFollower);

    /// Whether the records were read since the list of upstreams last showed its newest entries only, and since the log was last restored.
    [[nodiscard]] bool current() const;
    /// Reads the records. Returns whether a read that began after this call succeeded.
    boost::asio::awaitable<bool> read();
    /// Records the versions that are not recorded yet, and default versions. Returns whether nothing is left to be recorded.
    /// Precondition: current().
    boost::asio::awaitable<bool> record();
    /// Removes the records of the versions whose streams can no longer be resumed. Returns whether none is left.
    boost::asio::awaitable<bool> removeRetired();

private:
    boost::asio::awaitable<bool> readNewest();
    /// Appends the record of @p version if the topic has not changed since it was read; else it has to be read again.
    boost::asio::awaitable<bool> append(streams::ServiceVersion version, bool isDefault);
    /// Has what this host knows recorded anew if the log was restored from a copy since the last call.
    void noteRestoredLog();
    /// Whether a default version may be recorded: streams whose records a restored log has lost have ended.
    [[nodiscard]] bool mayRecordDefault() const;

    GatewayContext &m_context;
    UpstreamFollower &m_upstreamFollower;
    SharedRead m_reader;
    std::uint64_t m_readAfter = 0;                  ///< UpstreamFollower::newestReads() at the last read; 0 when it has to be read again.
    std::uint64_t m_readRises = 0;                  ///< LogEraTracker::rises() at that read.
    std::uint64_t m_notedRises = 0;                 ///< LogEraTracker::rises() at the last noteRestoredLog().
    std::uint64_t m_endOffset = 0;                  ///< End of the topic after the last read or append.
    std::optional<TimePoint> m_restoredAt;          ///< When this host learned that the log had been restored.
    std::vector<streams::ServiceVersion> m_retired; ///< Versions whose records are to be removed.
};

}
