#include "eventlog/eventlog.h"

#include <json/writer.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>

namespace rosemaryshift::eventlog {

namespace {

/// Buffer size in bytes above which lines are dropped because the reader is slow.
constexpr std::size_t MaxBufferedBytes = 256 * 1024;
/// Share of a second's budget up to which lines of an importance are admitted; state changes may use all of the budget.
constexpr double OrdinaryShare = 0.6;
constexpr double FailureShare = 0.9;

double budgetShare(Importance importance)
{
    switch (importance) {
    case Importance::Ordinary:
        return OrdinaryShare;
    case Importance::Failure:
        return FailureShare;
    case Importance::StateChange:
        break;
    }
    return 1;
}

std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Whether @p text is written in JSON as it is.
bool isPlain(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
}

void appendText(std::string &line, std::string_view text)
{
    if (!isPlain(text)) {
        line += Json::valueToQuotedString(std::string(text).c_str());
        return;
    }
    line += '"';
    line += text;
    line += '"';
}

void appendValue(std::string &line, const Field &field)
{
    if (const std::string_view *text = std::get_if<std::string_view>(&field.value)) {
        appendText(line, *text);
    } else if (const std::int64_t *number = std::get_if<std::int64_t>(&field.value)) {
        line += std::to_string(*number);
    } else if (const double *real = std::get_if<double>(&field.value)) {
        line += fmt::format("{:.4g}", *real);
    } else {
        line += std::get<bool>(field.value) ? "true" : "false";
    }
}

}

EventLog::EventLog(std::string host, std::string start, Budget budget, std::unique_ptr<ILineWriter> writer)
    : m_host(std::move(host))
    , m_start(std::move(start))
    , m_budget(budget)
    , m_writer(std::move(writer))
{
}

void EventLog::write(std::string_view event, Importance importance, std::initializer_list<Field> fields)
{
    write(event, importance, std::span<const Field>(fields.begin(), fields.size()));
}

void EventLog::write(std::string_view event, Importance importance, std::span<const Field> fields)
{
    beginSecond(steadyMilliseconds() / 1000);
    if (!admits(importance, 0)) { // Formatting costs many times as much as dropping.
        noteDropped();
        return;
    }
    const std::size_t before = m_buffer.size();
    append(event, fields);
    const std::size_t bytes = m_buffer.size() - before;
    if (!admits(importance, bytes)) {
        m_buffer.resize(before);
        noteDropped();
        return;
    }
    ++m_linesInSecond;
    m_bytesInSecond += static_cast<std::uint32_t>(bytes);
}

void EventLog::flush()
{
    beginSecond(steadyMilliseconds() / 1000);
    if (!m_buffer.empty()) {
        m_buffer.erase(0, m_writer->write(m_buffer));
    }
}

std::uint64_t EventLog::dropped() const
{
    return m_dropped;
}

bool EventLog::admits(Importance importance, std::size_t bytes)
{
    const double share = budgetShare(importance);
    return m_buffer.size() <= MaxBufferedBytes && m_linesInSecond + 1 <= share * m_budget.linesPerSecond
        && static_cast<double>(m_bytesInSecond + bytes) <= share * m_budget.bytesPerSecond;
}

void EventLog::noteDropped()
{
    ++m_dropped;
    ++m_unreportedDrops;
}

void EventLog::beginSecond(std::int64_t second)
{
    if (second == m_second) {
        return;
    }
    m_second = second;
    m_linesInSecond = 0;
    m_bytesInSecond = 0;
    if (m_unreportedDrops > 0 && m_buffer.size() <= MaxBufferedBytes) {
        const Field lines{"lines", static_cast<std::int64_t>(m_unreportedDrops)};
        append("lines_dropped", std::span(&lines, 1));
        m_unreportedDrops = 0;
    }
}

void EventLog::append(std::string_view event, std::span<const Field> fields)
{
    m_buffer += fmt::format(
        R"({{"time_ms":{},"steady_ms":{},"host":"{}","start":"{}","event":"{}")", wallMilliseconds(), steadyMilliseconds(), m_host, m_start, event);
    for (const Field &field : fields) {
        m_buffer += ",\"";
        m_buffer += field.name;
        m_buffer += "\":";
        appendValue(m_buffer, field);
    }
    m_buffer += "}\n";
}

}
