#include "base/text.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <span>
#include <stdexcept>

namespace rosemaryshift {

namespace {

constexpr std::size_t RandomIdBytes = 16;

std::optional<std::uint64_t> parseInteger(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value, base);
    if (text.empty() || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string hex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 15U];
    }
    return text;
}

}

std::string_view name(TrafficClass trafficClass)
{
    switch (trafficClass) {
    case TrafficClass::Question:
        return "question";
    case TrafficClass::Plan:
        return "plan";
    case TrafficClass::Lookup:
        return "lookup";
    case TrafficClass::Booking:
        return "booking";
    }
    return "question";
}

std::optional<TrafficClass> trafficClassFromName(std::string_view text)
{
    for (const TrafficClass candidate : {TrafficClass::Question, TrafficClass::Plan, TrafficClass::Lookup, TrafficClass::Booking}) {
        if (name(candidate) == text) {
            return candidate;
        }
    }
    return std::nullopt;
}

std::string_view name(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "ran";
    }
    return "unknown";
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    return hex(std::span(digest).first(length));
}

bool equalSecrets(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomId()
{
    std::array<unsigned char, RandomIdBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the system's random generator failed");
    }
    return hex(bytes);
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    return parseInteger(text, 10);
}

std::string hexadecimal(std::uint64_t value)
{
    constexpr std::size_t MaxDigits = 16;
    std::array<char, MaxDigits> digits{};
    const std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return {digits.data(), end.ptr};
}

std::optional<std::uint64_t> parseHexadecimal(std::string_view text)
{
    return parseInteger(text, 16);
}

std::optional<std::string> readFile(const std::string &path, std::size_t maxBytes, std::string &reason)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        reason = path + ": cannot be opened";
        return std::nullopt;
    }
    std::string text(maxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxBytes) {
        reason = path + ": larger than " + std::to_string(maxBytes) + " bytes";
        return std::nullopt;
    }
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    constexpr std::size_t GroupCharacters = 4;
    constexpr std::size_t GroupBytes = 3;
    if (text.size() % GroupCharacters != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / GroupCharacters * GroupBytes, '\0');
    const int length
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts each padding character as a decoded byte.
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || std::string_view("-._~").find(character) != std::string_view::npos) {
            encoded += character;
        } else {
            encoded += {'%', Digits[byte >> 4U], Digits[byte & 15U]};
        }
    }
    return encoded;
}

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Whitespace = " \t\r\n";
    const std::size_t first = text.find_first_not_of(Whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Whitespace) - first + 1);
}

}
