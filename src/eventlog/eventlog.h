#pragma once

#include "base/types.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryshift::eventlog {

/// What a line may displace when the budget is short.
enum class Importance : std::uint8_t {
    Ordinary,    ///< A request that goes its way; left out first.
    Failure,     ///< A refusal or failure.
    StateChange, ///< What the process thinks of the world has changed, or it starts, stops or reloads; left out last.
};

struct Field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Bounds on the lines of one second.
struct Budget {
    std::uint32_t linesPerSecond = 400;
    std::uint32_t bytesPerSecond = 160 * 1024;
};

/// Where lines go. Not thread-safe.
class ILineWriter
{
public:
    virtual ~ILineWriter() = default;

    /// Writes as much of @p bytes as goes without waiting and returns how much that was.
    virtual std::size_t write(std::string_view bytes) = 0;
};

/// Writes to standard output, and never waits for its reader.
std::unique_ptr<ILineWriter> makeOutputWriter();

/// Structured log: one JSON object a line. Lines beyond the budget, and those that a slow reader leaves no room for, are counted and
/// told of in a line of their own. Not thread-safe.
class EventLog
{
public:
    /// @p start tells one start of the process from another.
    EventLog(std::string host, std::string start, Budget budget, std::unique_ptr<ILineWriter> writer);

    /// Adds a line. Field names are those of the schema in docs/OPERATIONS.md.
    void write(std::string_view event, Importance importance, std::initializer_list<Field> fields);
    /// Hands collected lines to the writer. Precondition: called several times a second.
    void flush();
    /// Lines left out since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct Second;

    [[nodiscard]] bool admits(Importance importance, std::size_t bytes);
    void beginSecond(std::int64_t second);
    void append(std::string_view event, std::initializer_list<Field> fields);

    const std::string m_host;
    const std::string m_start;
    const Budget m_budget;
    const std::unique_ptr<ILineWriter> m_writer;
    std::string m_buffer;
    std::int64_t m_second = 0;
    std::uint32_t m_lines = 0;
    std::uint32_t m_bytes = 0;
    std::uint64_t m_droppedInSecond = 0;
    std::uint64_t m_dropped = 0;
};

}
