#pragma once

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::ports {

/// What the system reads from the platform's log, or keeps there.
enum class Topic : std::uint8_t {
    Configuration, ///< Written by the operators.
    Upstreams,     ///< Written by the upstreams themselves.
    Duties,        ///< The system's own: who holds the singleton duties.
};

/// One record of a topic. A record without a value withdraws its key.
struct Record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// The newest record of each key.
struct NewestRecords {
    std::vector<Record> records;
    std::uint64_t endOffset = 0; ///< Offset behind the last record that is certain to be reflected.
};

/// Consecutive records of a topic, as returned by one read.
struct RecordBatch {
    std::vector<Record> records;
    std::uint64_t nextOffset = 0; ///< Offset to continue reading from.
    std::uint64_t skipped = 0;    ///< Records that could not be read.
    bool historyLost = false;     ///< Records from the offset asked for are gone; the newest records must be read instead.
};

/// How a conditional append ended.
enum class AppendOutcome : std::uint8_t {
    Appended,
    Conflict, ///< Something else was appended before; nothing was done.
};

enum class LogError : std::uint8_t {
    Unreachable, ///< No answer came; an append may have been done, or may still be.
    Refused,     ///< The store refused the call; nothing was done.
    Malformed,   ///< The answer could not be read.
};

struct LogFailure {
    LogError error = LogError::Unreachable;
    std::string detail;
};

/// The platform's log. Each call fails with a LogFailure. Not thread-safe; calls may run side by side.
class IPlatformLog
{
public:
    virtual ~IPlatformLog() = default;

    /// The newest record of each key of @p topic.
    virtual boost::asio::awaitable<std::optional<NewestRecords>> readNewest(Topic topic, std::chrono::milliseconds timeout, LogFailure &failure) = 0;
    /// The records of @p topic from @p offset; waits up to @p wait for the first one.
    virtual boost::asio::awaitable<std::optional<RecordBatch>>
    readFrom(Topic topic, std::uint64_t offset, std::chrono::milliseconds wait, std::chrono::milliseconds timeout, LogFailure &failure) = 0;
    /// Appends one record; with @p expectedEnd only while the topic ends there.
    virtual boost::asio::awaitable<std::optional<AppendOutcome>>
    append(Topic topic, Record record, std::optional<std::uint64_t> expectedEnd, std::chrono::milliseconds timeout, LogFailure &failure) = 0;
};

}
