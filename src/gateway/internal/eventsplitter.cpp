#include "gateway/internal/eventsplitter.h"

#include "base/text.h"

namespace rosemaryshift::gateway {

namespace {

/// Position after the last complete event in @p bytes; 0 when there is none. An empty line ends an event.
std::size_t endOfEvents(std::string_view bytes)
{
    const std::size_t lf = bytes.rfind("\n\n");
    const std::size_t crlf = bytes.rfind("\r\n\r\n");
    const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 4;
    return std::max(lfEnd, crlfEnd);
}

}

std::string EventSplitter::push(std::string_view bytes)
{
    m_partialEvent += bytes;
    const std::size_t end = endOfEvents(m_partialEvent);
    if (end == 0) {
        return {};
    }
    std::string events = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    updateLastId(events);
    return events;
}

const std::optional<std::string> &EventSplitter::lastId() const
{
    return m_lastId;
}

const std::string &EventSplitter::partialEvent() const
{
    return m_partialEvent;
}

bool EventSplitter::insideEvent() const
{
    return m_partialEvent.find_first_not_of("\r\n") != std::string::npos;
}

void EventSplitter::discardPartialEvent()
{
    m_partialEvent.clear();
}

void EventSplitter::updateLastId(std::string_view events)
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
