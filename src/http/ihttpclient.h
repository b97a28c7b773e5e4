#pragma once

#include "http/httptypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::http {

class ConnectionPool;

/// Provides the request of an exchange; nothing when it is not to be sent any more.
using RequestSource = std::function<std::optional<Request>()>;

/// Asked when nothing came from the server of an exchange within a timeout. Returns whether to give the exchange up; if not, it waits for the same answer as
/// long again.
using SilenceHandler = std::function<boost::asio::awaitable<bool>()>;

/// One HTTP request and its response, on a new or a pooled connection. Used from one coroutine; cancel() may be called from
/// any thread.
class IExchange
{
public:
    virtual ~IExchange() = default;

    /// Connects, sends @p request and reads the answer's status and headers. Nothing, with @p failure set, when that fails; ConnectFailed means that no byte
    /// was sent.
    boost::asio::awaitable<std::optional<Response>> open(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure);
    /// The same, but gets the request from @p source once the connection is open, right before the first byte is sent. Fails with ClientError::Withdrawn
    /// when @p source provides nothing; the connection is then kept for a later exchange.
    virtual boost::asio::awaitable<std::optional<Response>>
    open(const Endpoint &endpoint, RequestSource source, ClientTimeouts timeouts, ClientFailure &failure) = 0;
    /// Reads the next bytes of the body; empty at its end. Nothing, with @p failure set, when that fails. Precondition: open()
    /// succeeded.
    virtual boost::asio::awaitable<std::optional<std::string>> readSome(ClientFailure &failure) = 0;
    /// Skips the rest of the current answer and reads the status and headers of the next one on the same connection, for a server
    /// that answered an earlier request twice. Nothing, with @p failure set, when that fails. Precondition: open() succeeded.
    virtual boost::asio::awaitable<std::optional<Response>> openNext(ClientFailure &failure) = 0;
    /// Sets what decides whether to give up the exchange when nothing came within ClientTimeouts::header or ClientTimeouts::body while an answer is read;
    /// without a handler it is given up. It is not asked after ClientTimeouts::end. Not to be called during another call.
    virtual void setSilenceHandler(SilenceHandler handler) = 0;
    /// Replaces ClientTimeouts::end for the reads that begin later. No effect on an exchange whose end has passed. Not to be called during another call.
    virtual void setEnd(std::chrono::steady_clock::time_point end) = 0;
    /// Whether bytes have arrived that were not read yet, or the connection has ended. Precondition: open() has sent the request.
    [[nodiscard]] virtual bool hasUnread() = 0;
    /// Cancels the exchange; a pending call fails with ClientError::Cancelled. Thread-safe.
    virtual void cancel() = 0;
    /// True when the request was sent on a connection that had served an earlier exchange. Precondition: open() was called.
    [[nodiscard]] virtual bool reused() const = 0;
};

/// Makes an exchange that runs on @p executor. With a @p pool it reuses a connection of the pool if there is one, and its
/// destructor returns the connection if the answer was read to its end. Precondition: the pool is used from that executor only.
std::shared_ptr<IExchange> makeExchange(const boost::asio::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool = nullptr);

/// Sends @p request and reads the complete answer, of 8 MiB at most, on the current executor; nothing, with @p failure set, when any step fails.
boost::asio::awaitable<std::optional<Response>> fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure);
/// Sends @p request on a connection of @p pool and reads the complete answer, of 8 MiB at most; nothing, with @p failure set, when any step fails.
/// Precondition: the pool is used from the current executor only.
boost::asio::awaitable<std::optional<Response>>
fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure, std::shared_ptr<ConnectionPool> pool);

}
