#include "gateway/internal/endtoendheaders.h"

#include "base/text.h"

#include <array>

namespace rosemaryshift::gateway {

namespace {

constexpr std::array<std::string_view, 10> HopByHopFields{"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Connection",
                                                          "Proxy-Authenticate",
                                                          "Proxy-Authorization",
                                                          "TE",
                                                          "Trailer",
                                                          "Transfer-Encoding",
                                                          "Upgrade",
                                                          "Content-Length"};

/// Whether the comma-separated @p list contains @p name, regardless of case.
bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (equalIgnoringCase(trimmed(list.substr(0, comma)), name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

/// Whether @p field concerns a single connection only; @p connection is the value of the Connection header.
bool isHopByHop(const http::Header &field, std::string_view connection, const EndToEndPredicate &isEndToEnd)
{
    for (const std::string_view name : HopByHopFields) {
        if (equalIgnoringCase(field.name, name)) {
            return true;
        }
    }
    return listContains(connection, field.name) && !isEndToEnd(field.name);
}

}

http::Headers endToEndHeaders(const http::Headers &headers)
{
    return endToEndHeaders(headers, [](std::string_view) { return false; });
}

http::Headers endToEndHeaders(const http::Headers &headers, const EndToEndPredicate &isEndToEnd)
{
    http::Headers forwarded;
    const std::string_view connection = headers.find("Connection").value_or("");
    for (const http::Header &field : headers.all()) {
        if (!isHopByHop(field, connection, isEndToEnd) && !equalIgnoringCase(field.name, "Expect")) {
            forwarded.add(field.name, field.value);
        }
    }
    return forwarded;
}

}
