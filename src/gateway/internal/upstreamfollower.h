#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/logrelay.h"
#include "gateway/internal/sharedread.h"

#include <boost/asio/awaitable.hpp>

namespace rosemaryshift::gateway {

/// Follows the upstream topic of the platform log and keeps the upstream directory up to date, by reads of its own or through another host that reads the log.
/// Used from the gateway's thread.
class UpstreamFollower
{
public:
    UpstreamFollower(GatewayContext &context, LogRelay &relay);

    /// Reads the topic until the process ends; never returns.
    boost::asio::awaitable<void> run();
    /// Reads the changes of the list that were made before this call. Returns whether that succeeded.
    boost::asio::awaitable<bool> refresh();
    /// Whether the list of upstreams was read at least once.
    [[nodiscard]] bool listRead() const;
    /// Number of times that only the newest entries of the list were read, which do not show the versions that came and went before.
    [[nodiscard]] std::uint64_t newestReads() const;

private:
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> readNewest(ports::LogFailure &failure);
    boost::asio::awaitable<bool> readNext(ports::LogFailure &failure);
    /// Asks a reader for the changes of the list. Returns false when it cannot tell them.
    boost::asio::awaitable<bool> readThroughRelay();
    /// Applies a record of the list. Returns whether it changed an entry.
    bool applyRecord(const ports::Record &record, TimePoint now);
    [[nodiscard]] std::optional<directory::UpstreamEntry> parseEntry(const ports::Record &record) const;
    [[nodiscard]] std::chrono::milliseconds delayAfter(bool succeeded) const;
    /// Drops the entries that did not come back in time after an outage of the log.
    void dropMissingEntries();
    void updateReachable(bool reachable, std::string_view reason);

    /// Notes the software versions of the listed upstreams.
    void noteVersions(TimePoint now);

    GatewayContext &m_context;
    LogRelay &m_relay;
    SharedRead m_read;
    bool m_ownReadNeeded = false;                 ///< The next read must show what was written before now, which another host may not have read yet.
    std::optional<ports::LogPosition> m_position; ///< Position of the next read; nothing when the newest records must be read first.
    std::uint64_t m_newestReads = 0;
};

}
