#pragma once

#include "http/httptypes.h"

#include <string>
#include <string_view>

namespace rosemaryshift::testing {

/// A TCP connection over which a test sends arbitrary bytes, also invalid HTTP. Not thread-safe.
class RawConnection
{
public:
    explicit RawConnection(const http::Endpoint &endpoint);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// Sends @p bytes; once the peer has closed the connection, the rest is dropped without an error.
    void send(std::string_view bytes) const;
    /// Closes the sending direction of the connection.
    void finishSending() const;
    /// Reads until the bytes received contain @p text and returns all of them; fails the test when the connection ends first.
    std::string awaitText(const std::string &text);
    /// Reads until the peer closes the connection and returns all bytes received; fails the test when a read takes longer
    /// than WaitLimit.
    std::string awaitClose();

private:
    /// Reads once and appends to m_received; returns false when the peer has closed the connection.
    bool readSome();

    int m_socket = -1;
    std::string m_received;
};

}
