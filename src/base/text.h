#pragma once

#include "base/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift {

/// Stable lower-case name of a traffic class, as in templates and headers. Thread-safe.
std::string_view name(TrafficClass trafficClass);
/// Parses the name of a traffic class; nothing when the name is unknown. Thread-safe.
std::optional<TrafficClass> trafficClassFromName(std::string_view text);
/// Stable name of a run state: not-run, unknown or ran. Thread-safe.
std::string_view name(RunState state);

/// Lower-case hexadecimal SHA-256 of @p data (FIPS 180-4). Thread-safe.
std::string sha256Hex(std::string_view data);
/// Compares two secrets in a time that depends only on their lengths, so that it does not reveal where they differ. Thread-safe.
bool equalSecrets(std::string_view a, std::string_view b);
/// 128 bits from OpenSSL's secure random generator as 32 lower-case hexadecimal digits. Thread-safe.
std::string randomId();
/// Parses an unsigned decimal integer; nothing when @p text is anything else or does not fit 64 bits. Thread-safe.
std::optional<std::uint64_t> parseUnsigned(std::string_view text);
/// @p value in lower-case hexadecimal digits without leading zeros. Thread-safe.
std::string hexadecimal(std::uint64_t value);
/// Parses an unsigned hexadecimal integer without a prefix; nothing when @p text is anything else or does not fit 64 bits. Thread-safe.
std::optional<std::uint64_t> parseHexadecimal(std::string_view text);
/// Reads a file of at most @p maxBytes; nothing, with @p reason set, when it cannot be read or is larger.
std::optional<std::string> readFile(const std::string &path, std::size_t maxBytes, std::string &reason);
/// Decodes base64 with padding (RFC 4648); nothing when @p text is malformed. Thread-safe.
std::optional<std::string> fromBase64(std::string_view text);
/// Percent-encodes every byte of @p text except the unreserved URI characters (RFC 3986). Thread-safe.
std::string percentEncoded(std::string_view text);
/// Compares two texts regardless of the case of ASCII letters, as names in HTTP are compared, whatever the locale. Thread-safe.
bool equalIgnoringCase(std::string_view a, std::string_view b);
/// @p text without leading and trailing white space. Thread-safe.
std::string_view trimmed(std::string_view text);

}
