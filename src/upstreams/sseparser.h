#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::upstreams {

/// Cuts a byte stream into the data of server-sent events (WHATWG HTML, section 9.2). Not thread-safe.
class SseParser
{
public:
    /// Takes bytes in and gives the data of each event that they complete.
    std::vector<std::string> feed(std::string_view bytes);
    /// True once an event has grown past the bound; nothing more is taken in.
    [[nodiscard]] bool overflowed() const;

private:
    void takeLine(std::string_view line, std::vector<std::string> &events);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_overflowed = false;
};

}
