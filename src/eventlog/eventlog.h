#pragma once

#include "base/types.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryshift::eventlog {

/// Importance of a log line; less important lines may use a smaller share of the budget and are dropped earlier.
enum class Importance : std::uint8_t {
    Ordinary,    ///< Normal progress of a request; dropped first.
    Failure,     ///< Refusal or failure of a request.
    StateChange, ///< Start, stop or reload of the process, or a change in its duties, its configuration or its view of other hosts; dropped last.
};

/// One member of a log line's JSON object.
struct Field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Upper bounds on the lines logged in one second.
struct Budget {
    std::uint32_t linesPerSecond = 400;
    std::uint32_t bytesPerSecond = 160 * 1024;
};

/// Destination of log lines. Not thread-safe.
class ILineWriter
{
public:
    virtual ~ILineWriter() = default;

    /// Writes as much of @p bytes as possible without blocking and returns the number of bytes written.
    virtual std::size_t write(std::string_view bytes) = 0;
};

/// Creates a writer to standard output that never blocks on a slow reader.
std::unique_ptr<ILineWriter> makeOutputWriter();

/// Structured log with one JSON object per line. Lines that exceed the budget, or that find the buffer full because the reader is slow,
/// are dropped and counted; a "lines_dropped" line reports how many. Not thread-safe.
class EventLog
{
public:
    /// @p host and @p start are written on every line; @p start identifies this start of the process.
    EventLog(std::string host, std::string start, Budget budget, std::unique_ptr<ILineWriter> writer);

    /// Adds a line for @p event, or drops it when the budget or the buffer is exhausted. Field names are those of the schema in docs/OPERATIONS.md.
    void write(std::string_view event, Importance importance, std::initializer_list<Field> fields);
    /// The same, for fields of which some are left out.
    void write(std::string_view event, Importance importance, std::span<const Field> fields);
    /// Passes buffered lines to the writer. Precondition: called several times a second.
    void flush();
    /// Number of lines dropped since the process started.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct Second;

    [[nodiscard]] bool admits(Importance importance, std::size_t bytes);
    void noteDropped();
    void beginSecond(std::int64_t second);
    void append(std::string_view event, std::span<const Field> fields);

    const std::string m_host;
    const std::string m_start;
    const Budget m_budget;
    const std::unique_ptr<ILineWriter> m_writer;
    std::string m_buffer;
    std::int64_t m_second = 0;
    std::uint32_t m_linesInSecond = 0;
    std::uint32_t m_bytesInSecond = 0;
    std::uint64_t m_unreportedDrops = 0;
    std::uint64_t m_dropped = 0;
};

}
