#pragma once

#include "http/ihttpclient.h"

#include <boost/asio.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::http::testing {

/// A server whose only connection the test reads and writes byte by byte, and a client before it that run in one event loop.
class RawServer
{
public:
    RawServer();

    [[nodiscard]] Endpoint endpoint() const;
    /// Runs the event loop for @p time, without an end when the client waits for nothing.
    void run(std::chrono::milliseconds time);
    /// Accepts the connection of the client. Precondition: it has begun to connect.
    void accept();
    /// Sends @p bytes to the client.
    void send(std::string_view bytes);
    /// Ends the connection as a process does that has sent all it wanted to.
    void end();
    /// Breaks the connection off; the client's system learns it at once.
    void reset();

    boost::asio::io_context &context();

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
};

/// An answer as a client has received it.
struct ReceivedAnswer {
    bool done = false;                ///< The exchange has ended.
    std::optional<Response> response; ///< With what came of the body.
    bool whole = false;               ///< The body was read to its end.
    ClientFailure failure;
};

}
