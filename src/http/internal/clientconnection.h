#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemaryshift::http {

/// Largest number of bytes of an answer that are held before they can be parsed: a head, the line with the size of a chunk, or a trailer. A faulty server
/// may send one without end.
inline constexpr std::size_t MaxUnparsedBytes = 16 * 1024;

/// A client connection to a server.
struct ClientConnection {
    explicit ClientConnection(const boost::asio::any_io_executor &executor);

    /// Sets the options of the socket. Precondition: it is open.
    void setOptions();
    /// Number of bytes that have arrived and were not read from the socket; at least 1 when the connection has ended. Keeps the error that is pending.
    [[nodiscard]] std::size_t unreadBytes();

    boost::beast::tcp_stream stream;
    /// How the connection broke, if it did. The system reports a pending error once, to whichever call comes first; further reads find a regular end.
    boost::system::error_code error;
    boost::beast::flat_buffer buffer{MaxUnparsedBytes}; ///< Bytes read but not yet parsed.
    std::uint64_t exchanges = 0;                        ///< Number of exchanges that have sent a request on the connection.
    /// Until when the server keeps the connection open without a request, with a margin; nothing before it was in a pool.
    std::optional<std::chrono::steady_clock::time_point> idleUntil;
};

}
