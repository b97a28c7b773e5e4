#include "gateway/internal/eventsplitter.h"

#include "base/text.h"

namespace rosemaryshift::gateway {

namespace {

/// End of the last whole event in @p bytes; 0 when there is none. An event ends with an empty line.
std::size_t endOfEvents(std::string_view bytes)
{
    const std::size_t plain = bytes.rfind("\n\n");
    const std::size_t carriage = bytes.rfind("\r\n\r\n");
    const std::size_t plainEnd = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t carriageEnd = carriage == std::string_view::npos ? 0 : carriage + 4;
    return std::max(plainEnd, carriageEnd);
}

}

std::string EventSplitter::take(std::string_view bytes)
{
    m_rest += bytes;
    const std::size_t end = endOfEvents(m_rest);
    if (end == 0) {
        return {};
    }
    std::string events = m_rest.substr(0, end);
    m_rest.erase(0, end);
    noteIds(events);
    return events;
}

const std::optional<std::string> &EventSplitter::lastId() const
{
    return m_lastId;
}

const std::string &EventSplitter::rest() const
{
    return m_rest;
}

void EventSplitter::dropRest()
{
    m_rest.clear();
}

void EventSplitter::noteIds(std::string_view events)
{
    constexpr std::string_view Field = "id:";
    std::size_t line = events.size();
    while (line > 0) {
        const std::size_t before = events.rfind('\n', line - 1);
        const std::size_t begin = before == std::string_view::npos ? 0 : before + 1;
        const std::string_view text = events.substr(begin, line - begin);
        if (text.starts_with(Field)) {
            m_lastId = std::string(trimmed(text.substr(Field.size())));
            return;
        }
        line = begin == 0 ? 0 : begin - 1;
    }
}

}
