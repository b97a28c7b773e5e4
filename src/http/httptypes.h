#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::http {

struct Header {
    std::string name;
    std::string value;
};

/// Header fields in the order they came; names compare without regard to case.
class Headers
{
public:
    /// The first value under @p name; nothing when absent.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    /// Adds a field behind those already there.
    void add(std::string_view name, std::string_view value);
    [[nodiscard]] const std::vector<Header> &all() const;

private:
    std::vector<Header> m_fields;
};

struct Request {
    std::string method = "GET";
    std::string target = "/";
    Headers headers;
    std::string body;
};

struct Response {
    int status = 200;
    Headers headers;
    std::string body;
};

struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    /// "address:port".
    [[nodiscard]] std::string text() const;
    /// Reads "address:port" with a numeric IPv4 address; nothing when malformed.
    static std::optional<Endpoint> parse(std::string_view text);
    bool operator==(const Endpoint &) const = default;
};

/// Bounds on what one caller may make a server hold.
struct ServerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{10'000};
    std::chrono::milliseconds bodyTimeout{30'000};
    std::chrono::milliseconds writeTimeout{30'000};
    std::chrono::milliseconds idleTimeout{60'000};
};

enum class ClientError : std::uint8_t {
    ConnectFailed, ///< No byte was sent.
    SendFailed,    ///< Some bytes may have been sent.
    Silent,        ///< The peer said nothing within the timeout.
    Closed,        ///< The connection ended before the whole answer.
    Malformed,     ///< The answer is not HTTP.
    Cancelled,     ///< The caller of the client gave up.
};

struct ClientFailure {
    ClientError error = ClientError::ConnectFailed;
    std::string detail;
};

struct ClientTimeouts {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds header{10'000};
    std::chrono::milliseconds body{10'000};                                  ///< Between two reads of the body.
    std::optional<std::chrono::steady_clock::time_point> end = std::nullopt; ///< Bound on the whole exchange.
};

/// Percent-decodes a target's path or query part; nothing when an escape is malformed.
std::optional<std::string> percentDecoded(std::string_view text);
/// Path of @p target without its query.
std::string_view path(std::string_view target);
/// Decoded value of query parameter @p key in @p target.
std::optional<std::string> queryValue(std::string_view target, std::string_view key);

}
