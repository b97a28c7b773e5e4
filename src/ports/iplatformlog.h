#pragma once

#include "ports/logposition.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::ports {

/// Topics of the platform log that gateways read or write.
enum class Topic : std::uint8_t {
    Configuration,    ///< Configuration, written by operators.
    Upstreams,        ///< Directory entries, written by the upstreams themselves.
    Duties,           ///< Lease on the singleton duties, written by gateways.
    SoftwareVersions, ///< Software versions of services whose streams may still be resumed, written by gateways.
    StreamOrigins,    ///< Software versions that began streams, written by gateways. Its records are not kept by key and expire.
    Suspects,         ///< Requests that crash upstreams, and evidence of them, written by gateways.
    RolloutStates,    ///< What has come of operators' orders to roll out a version, written by gateways for the operators.
};

/// One record of a topic. A record without a value is a tombstone: it deletes the key.
struct Record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// The newest record of each key of a topic.
struct NewestRecords {
    std::vector<Record> records;
    LogPosition end; ///< After the last record that the result is certain to include; reading continues from here.
};

/// Consecutive records of a topic, as returned by one read.
struct RecordBatch {
    std::vector<Record> records;
    LogPosition next;            ///< To continue reading from; its era is that of the answer.
    std::uint64_t endOffset = 0; ///< Offset after the last record of the topic.
    std::uint64_t skipped = 0;   ///< Number of records that could not be parsed.
    /// The log no longer has the requested position, or it has been restored since the position was read. Read the newest records, or continue from next,
    /// the first position that the log still has.
    bool historyLost = false;
};

/// Result of an append.
enum class AppendOutcome : std::uint8_t {
    Appended,
    Conflict, ///< The topic did not end at the expected offset; nothing was appended.
};

/// What the log answered to an append.
struct AppendResult {
    AppendOutcome outcome = AppendOutcome::Appended;
    LogEra era = std::nullopt; ///< Era of the log that gave the answer, in which the record stands.
};

/// Why a call to the platform log failed.
enum class LogError : std::uint8_t {
    Unreachable, ///< No response came; an append may have taken effect, or may still do so.
    Refused,     ///< The log refused the call; nothing was appended.
    Malformed,   ///< The response could not be parsed.
    Superseded,  ///< The response is of an era of the log that has ended; what it says may no longer hold, and an append may be lost.
};

/// Why a call to the platform log failed, with a text for event logs.
struct LogFailure {
    LogError error = LogError::Unreachable;
    std::string detail;
};

/// Client of the platform's log of keyed records. The timeout of a read is that until its answer begins, or goes on; an answer that goes on may take a few
/// times as long. A call that fails returns nothing and sets its LogFailure. Not thread-safe, but several calls may be pending at a time.
class IPlatformLog
{
public:
    virtual ~IPlatformLog() = default;

    /// Reads the newest record of each key of @p topic.
    virtual boost::asio::awaitable<std::optional<NewestRecords>> readNewest(Topic topic, std::chrono::milliseconds timeout, LogFailure &failure) = 0;
    /// Reads the records of @p topic from @p position on. When there are none yet, waits up to @p wait for the first one (long polling); @p timeout is
    /// the time for the response beyond that.
    virtual boost::asio::awaitable<std::optional<RecordBatch>>
    readFrom(Topic topic, LogPosition position, std::chrono::milliseconds wait, std::chrono::milliseconds timeout, LogFailure &failure) = 0;
    /// Appends one record. With @p expectedEnd, only if the topic ends at that offset, in whichever era; the result states the era.
    virtual boost::asio::awaitable<std::optional<AppendResult>>
    append(Topic topic, Record record, std::optional<std::uint64_t> expectedEnd, std::chrono::milliseconds timeout, LogFailure &failure) = 0;
};

}
