#include "http/httptypes.h"

#include "base/text.h"

#include <charconv>

namespace rosemaryshift::http {

namespace {

constexpr std::uint64_t MaxPort = 65535;

}

std::string_view name(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::Connection:
        return "connection";
    }
    return "unknown";
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const Header &field : m_fields) {
        if (equalIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

void Headers::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

const std::vector<Header> &Headers::all() const
{
    return m_fields;
}

std::string Endpoint::text() const
{
    return address + ":" + std::to_string(port);
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> port = parseUnsigned(text.substr(colon + 1));
    if (!port || *port > MaxPort) {
        return std::nullopt;
    }
    return Endpoint{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        unsigned int byte = 0;
        const char *const first = text.data() + i + 1;
        if (std::from_chars(first, first + 2, byte, 16).ptr != first + 2) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        i += 2;
    }
    return decoded;
}

std::string_view path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryValue(std::string_view target, std::string_view key)
{
    std::size_t at = target.find('?');
    while (at != std::string_view::npos) {
        const std::string_view rest = target.substr(at + 1);
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == key) {
            return equals == std::string_view::npos ? std::string() : percentDecoded(pair.substr(equals + 1));
        }
        at = target.find('&', at + 1);
    }
    return std::nullopt;
}

}
