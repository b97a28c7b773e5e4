#pragma once

#include "http/httptypes.h"

#include <string>
#include <string_view>

namespace rosemaryshift::testing {

/// One TCP connection on which a test says what it likes, byte by byte. Not thread-safe.
class RawConnection
{
public:
    explicit RawConnection(const http::Endpoint &endpoint);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// Sends bytes; those that the other side no longer takes are dropped.
    void send(std::string_view bytes) const;
    /// Says that nothing more will be sent.
    void finishSending() const;
    /// Reads until all that came holds @p text and gives it; fails the test when the connection ends before.
    std::string awaitText(const std::string &text);
    /// Reads until the other side closes and gives all that came; fails the test when it does not close in time.
    std::string awaitClose();

private:
    /// False once the other side has closed.
    bool readSome();

    int m_socket = -1;
    std::string m_received;
};

}
