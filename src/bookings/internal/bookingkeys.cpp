#include "bookings/bookingkeys.h"

#include "base/text.h"

#include <algorithm>
#include <charconv>

namespace rosemaryshift::bookings {

namespace {

constexpr std::string_view TicketPrefix = "rst:";
constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionAt = 14;
constexpr std::size_t UuidTimeDigits = 12; ///< The creation time takes the first 48 bits.
constexpr int Hexadecimal = 16;

/// Appends @p field after its length, so that two different lists of fields never give the same text.
void addField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

std::optional<std::int64_t> uuidTimeMs(std::string_view key)
{
    if (key.size() != UuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' || key[UuidVersionAt] != '7') {
        return std::nullopt;
    }
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::int64_t time = 0;
    const std::from_chars_result result = std::from_chars(digits.data(), digits.data() + digits.size(), time, Hexadecimal);
    if (result.ec != std::errc() || result.ptr != digits.data() + UuidTimeDigits) {
        return std::nullopt;
    }
    return time;
}

}

std::string keyDigest(const requests::RequestSpec &spec)
{
    std::string text;
    addField(text, spec.workspace);
    addField(text, spec.target);
    addField(text, spec.idempotencyKey);
    return sha256Hex(text);
}

std::string requestDigest(const requests::RequestSpec &spec)
{
    std::string text;
    addField(text, spec.method);
    addField(text, spec.path);
    addField(text, spec.body);
    return sha256Hex(text);
}

std::string mintTicket(std::string_view owner, std::int64_t nowMs)
{
    return std::string(TicketPrefix) + std::string(owner) + ":" + std::to_string(nowMs) + ":" + randomId();
}

bool hasTicketPrefix(std::string_view key)
{
    return key.starts_with(TicketPrefix);
}

std::optional<Ticket> parseTicket(std::string_view key)
{
    if (!hasTicketPrefix(key)) {
        return std::nullopt;
    }
    const std::string_view rest = key.substr(TicketPrefix.size());
    const std::size_t randomAt = rest.rfind(':');
    const std::size_t timeAt = randomAt == std::string_view::npos || randomAt == 0 ? std::string_view::npos : rest.rfind(':', randomAt - 1);
    if (timeAt == std::string_view::npos || timeAt == 0 || randomAt + 1 == rest.size()) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> time = parseUnsigned(rest.substr(timeAt + 1, randomAt - timeAt - 1));
    if (!time || *time > static_cast<std::uint64_t>(INT64_MAX)) {
        return std::nullopt;
    }
    return Ticket{std::string(rest.substr(0, timeAt)), static_cast<std::int64_t>(*time)};
}

std::optional<std::int64_t> keyCreatedAtMs(std::string_view key)
{
    const std::optional<Ticket> ticket = parseTicket(key);
    return ticket ? std::optional<std::int64_t>(ticket->mintedAtMs) : uuidTimeMs(key);
}

}
