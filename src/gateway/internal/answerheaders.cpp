#include "gateway/internal/answerheaders.h"

#include "base/text.h"

#include <boost/algorithm/string/predicate.hpp>

#include <array>

namespace rosemaryshift::gateway {

namespace {

constexpr std::array<std::string_view, 10> ConnectionFields{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Content-Length"};

bool named(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (boost::algorithm::iequals(trimmed(list.substr(0, comma)), name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

bool ofOneConnection(const http::Header &field, std::string_view connection)
{
    for (const std::string_view name : ConnectionFields) {
        if (boost::algorithm::iequals(field.name, name)) {
            return true;
        }
    }
    return named(connection, field.name);
}

}

http::Headers forwardable(const http::Headers &headers)
{
    http::Headers forwarded;
    const std::string_view connection = headers.find("Connection").value_or("");
    for (const http::Header &field : headers.all()) {
        if (!ofOneConnection(field, connection) && !boost::algorithm::iequals(field.name, "Expect")) {
            forwarded.add(field.name, field.value);
        }
    }
    return forwarded;
}

}
