#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <cstdint>

namespace rosemaryshift::http {

/// An open connection to a server with the bytes that were read ahead on it.
struct ClientConnection {
    explicit ClientConnection(const boost::asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::uint64_t exchanges = 0;
};

}
