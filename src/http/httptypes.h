#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::http {

/// One header field.
struct Header {
    std::string name;
    std::string value;
};

/// Header fields in the order of their arrival or addition; names are case-insensitive.
class Headers
{
public:
    /// The value of the first field with @p name; nothing when absent.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    /// Appends a field.
    void add(std::string_view name, std::string_view value);
    /// All fields.
    [[nodiscard]] const std::vector<Header> &all() const;

private:
    std::vector<Header> m_fields;
};

/// An HTTP request.
struct Request {
    std::string method = "GET";
    std::string target = "/";
    Headers headers;
    std::string body;
};

/// What marks the end of a response's body.
enum class BodyFraming : std::uint8_t {
    Length,     ///< Content-Length, or a status that has no body.
    Chunked,    ///< The last chunk.
    Connection, ///< The end of the connection, which looks the same when the server breaks off.
};

/// Name of @p framing in log lines. Thread-safe.
std::string_view name(BodyFraming framing);

/// An HTTP response.
struct Response {
    int status = 200;
    Headers headers;
    std::string body;
    BodyFraming framing = BodyFraming::Length; ///< Of a received response; a sender ignores it.
};

/// Network address of a server.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    /// Formats the endpoint as "address:port".
    [[nodiscard]] std::string text() const;
    /// Parses "address:port"; nothing without an address or a valid port. Does not check the address.
    static std::optional<Endpoint> parse(std::string_view text);
    bool operator==(const Endpoint &) const = default;
};

class MemoryBudget;

/// Limits on requests; they bound the memory and the time that one caller can take up on a server.
struct ServerLimits {
    std::uint32_t headerBytes = 16 * 1024; ///< Of the header, and again of the size line of each chunk and of the trailer.
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    std::shared_ptr<MemoryBudget> memory;            ///< Bound on the bytes of all requests that are read or handled at the same time; null for none.
    std::chrono::milliseconds headerTimeout{10'000}; ///< For receiving the rest of a header after its first bytes.
    std::chrono::milliseconds bodyTimeout{30'000};   ///< For receiving the whole body.
    std::chrono::milliseconds writeTimeout{30'000};  ///< For each write to the caller.
    std::chrono::milliseconds idleTimeout{60'000};   ///< For waiting for the first bytes of a request.
};

/// Why an exchange of the client failed.
enum class ClientError : std::uint8_t {
    ConnectFailed, ///< No connection was established, so no byte was sent.
    SendFailed,    ///< Some bytes may have been sent.
    TimedOut,      ///< Nothing was received within the timeout.
    Closed,        ///< The connection was closed before the answer was complete.
    Malformed,     ///< The answer is not valid HTTP.
    Cancelled,     ///< IExchange::cancel() was called.
    Withdrawn,     ///< There was no request to send when the connection was open, so no byte was sent.
};

/// Failure of an exchange, with a description.
struct ClientFailure {
    ClientError error = ClientError::ConnectFailed;
    std::string detail;
};

/// Timeouts of an exchange.
struct ClientTimeouts {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds header{10'000};                                ///< For sending the request, and again for reading the answer's head.
    std::chrono::milliseconds body{10'000};                                  ///< Between two reads of the body.
    std::optional<std::chrono::steady_clock::time_point> end = std::nullopt; ///< Latest end of the whole exchange.
};

/// Percent-decodes a target's path or query part; nothing when an escape is malformed.
std::optional<std::string> percentDecoded(std::string_view text);
/// The path of @p target without its query, not decoded.
std::string_view path(std::string_view target);
/// The decoded value of query parameter @p key in @p target; nothing when absent or malformed.
std::optional<std::string> queryValue(std::string_view target, std::string_view key);

}
