#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/sharedread.h"
#include "gateway/internal/upstreamfollower.h"
#include "streams/streamtypes.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <set>
#include <string>

namespace rosemaryshift::gateway {

/// Finds out which software version began a stream that a caller resumes, and records in the platform's log which versions began the streams of this
/// host, so that they outlive it. Nothing is recorded while each service has a single version. Used from the gateway's thread.
class StreamRegistry
{
public:
    StreamRegistry(GatewayContext &context, UpstreamFollower &upstreamFollower);

    /// Records versions and streams until the process ends; never returns.
    boost::asio::awaitable<void> run();
    /// The origin of the stream with this @p key, one of @p services; nothing when it is not known, as without a key. An uncertain origin has no
    /// version. Reads the platform's log when this host does not know the stream. A single known version counts only when the
    /// list of upstreams has been read since this call, since another one may have joined unheard.
    boost::asio::awaitable<std::optional<streams::Origin>> find(std::optional<streams::StreamKey> key, std::set<std::string> services);

private:
    /// Whether the recorded versions were read since the list of upstreams last showed its newest entries only, and since the log was last restored.
    [[nodiscard]] bool versionsRead() const;
    /// Has what this host knows recorded anew if the log was restored from a copy since the last call. Returns whether it was.
    bool noteRestoredLog();
    boost::asio::awaitable<bool> readVersions();
    boost::asio::awaitable<bool> readOrigins();
    boost::asio::awaitable<bool> recordVersions();
    boost::asio::awaitable<bool> recordOrigins();
    boost::asio::awaitable<bool> removeRetired();
    /// Services whose streams have to be recorded: a stream does not tell which of several versions, or of several services of a route, began it.
    std::set<std::string> recordedServices();
    /// The only origin that a stream of @p services can have; nothing when there are several.
    [[nodiscard]] std::optional<streams::Origin> soleOrigin(const std::set<std::string> &services) const;
    [[nodiscard]] std::chrono::milliseconds writeInterval() const;

    GatewayContext &m_context;
    UpstreamFollower &m_upstreamFollower;
    SharedRead m_versionsReader;
    SharedRead m_originsReader;
    ports::LogPosition m_originsPosition;  ///< Position of the next read of origins.
    std::uint64_t m_versionsReadAfter = 0; ///< UpstreamFollower::newestReads() at the last read of the recorded versions.
    std::uint64_t m_versionsReadRises = 0; ///< LogEraTracker::rises() at that read.
    std::uint64_t m_notedRises = 0;        ///< LogEraTracker::rises() at the last noteRestoredLog().
    std::set<std::string> m_splitServices; ///< Services of resumable routes that have several, in the configuration with m_configurationVersion.
    std::uint64_t m_configurationVersion = 0;
    std::vector<streams::ServiceVersion> m_retired; ///< Versions whose records are to be removed.
};

}
