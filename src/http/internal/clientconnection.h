#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemaryshift::http {

/// A client connection to a server.
struct ClientConnection {
    explicit ClientConnection(const boost::asio::any_io_executor &executor);

    /// Sets the options of the socket. Precondition: it is open.
    void setOptions();
    /// Number of bytes that have arrived and were not read from the socket; at least 1 when the connection has ended.
    [[nodiscard]] std::size_t unreadBytes();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer; ///< Bytes read but not yet parsed.
    std::uint64_t exchanges = 0;      ///< Number of exchanges that have sent a request on the connection.
    /// Until when the server keeps the connection open without a request, with a margin; nothing before it was in a pool.
    std::optional<std::chrono::steady_clock::time_point> idleUntil;
};

}
