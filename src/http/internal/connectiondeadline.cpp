#include "http/internal/connection.h"

#include <poll.h>

namespace rosemaryshift::http {

namespace beast = boost::beast;

namespace {

/// Delay after which a write that goes on although it was cancelled is cancelled again.
constexpr std::chrono::milliseconds RepeatedCancelDelay{10};

}

void Connection::startDeadline(std::chrono::milliseconds timeout)
{
    startTimer(timeout, &Connection::expireDeadline);
}

void Connection::startWriteDeadline()
{
    startTimer(m_limits.writeTimeout, &Connection::expireWriteDeadline);
}

void Connection::startTimer(std::chrono::milliseconds timeout, void (Connection::*expire)())
{
    m_timedOut = false;
    ++m_deadlineNumber;
    m_deadline.expires_after(timeout);
    m_deadline.async_wait([self = shared_from_this(), number = m_deadlineNumber, expire](beast::error_code error) {
        if (!error && number == self->m_deadlineNumber) {
            ((*self).*expire)();
        }
    });
}

void Connection::expireDeadline()
{
    m_timedOut = true;
    beast::error_code ignored;
    m_socket.cancel(ignored);
}

void Connection::expireWriteDeadline()
{
    pollfd descriptor{m_socket.native_handle(), POLLOUT, 0};
    // The caller has taken bytes, which a late event loop notices after the timer: the pending write is about to go on.
    if (::poll(&descriptor, 1, 0) > 0) {
        startWriteDeadline();
        return;
    }
    // Cancelling has no effect between two parts of a write.
    startTimer(RepeatedCancelDelay, &Connection::expireWriteDeadline);
    expireDeadline();
}

void Connection::stopDeadline()
{
    ++m_deadlineNumber;
    m_deadline.cancel();
}

}
