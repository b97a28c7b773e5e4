#include "upstreams/sseparser.h"

#include <utility>

namespace rosemaryshift::upstreams {

namespace {

constexpr std::size_t MaxEventBytes = 1024 * 1024;
constexpr std::string_view DataField = "data:";

}

std::vector<std::string> SseParser::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    for (const char byte : bytes) {
        if (m_overflowed) {
            break;
        }
        if (byte != '\n') {
            m_line += byte;
            m_overflowed = m_line.size() + m_data.size() > MaxEventBytes;
            continue;
        }
        parseLine(m_line, events);
        m_line.clear();
    }
    return events;
}

void SseParser::parseLine(std::string_view line, std::vector<std::string> &events)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (m_hasData) {
            events.push_back(std::exchange(m_data, {}));
        }
        m_hasData = false;
        return;
    }
    if (!line.starts_with(DataField)) {
        return;
    }
    line.remove_prefix(DataField.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (m_hasData) {
        m_data += '\n';
    }
    m_data += line;
    m_hasData = true;
}

bool SseParser::overflowed() const
{
    return m_overflowed;
}

}
