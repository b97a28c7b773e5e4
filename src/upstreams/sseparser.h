#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::upstreams {

/// Parses a byte stream of server-sent events (WHATWG HTML, section 9.2) into their data. Not thread-safe.
class SseParser
{
public:
    /// Parses @p bytes and returns the data of each event that they complete.
    std::vector<std::string> feed(std::string_view bytes);
    /// True once an event has exceeded 1 MiB; further bytes are ignored.
    [[nodiscard]] bool overflowed() const;

private:
    void parseLine(std::string_view line, std::vector<std::string> &events);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_overflowed = false;
};

}
