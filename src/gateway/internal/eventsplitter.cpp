#include "gateway/internal/eventsplitter.h"

#include "base/text.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace {

constexpr std::string_view LfEnd = "\n\n";
constexpr std::string_view CrLfEnd = "\r\n\r\n";
/// Size above which a partial event is too large.
constexpr std::size_t MaxEventBytes = 1024 * 1024;

/// Position after the last complete event in @p bytes; 0 when there is none. An empty line ends an event.
std::size_t endOfEvents(std::string_view bytes)
{
    const std::size_t lf = bytes.rfind(LfEnd);
    const std::size_t crlf = bytes.rfind(CrLfEnd);
    const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + LfEnd.size();
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + CrLfEnd.size();
    return std::max(lfEnd, crlfEnd);
}

}

std::string EventSplitter::push(std::string_view bytes)
{
    // The bytes before were searched already, but an end may begin in the last of them.
    const std::size_t searchFrom = m_partialEvent.size() - std::min(m_partialEvent.size(), CrLfEnd.size() - 1);
    m_partialEvent += bytes;
    const std::size_t endAfterSearchFrom = endOfEvents(std::string_view(m_partialEvent).substr(searchFrom));
    if (endAfterSearchFrom == 0) {
        return {};
    }
    const std::size_t end = searchFrom + endAfterSearchFrom;
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

bool EventSplitter::overflowed() const
{
    return m_partialEvent.size() > MaxEventBytes;
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
