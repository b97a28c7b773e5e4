#pragma once

#include "http/httptypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::http {

class ConnectionPool;

/// One exchange with a server, on a connection of its own or on one kept from an earlier exchange. Used from one coroutine; cancel() may be called from any
/// thread.
class IExchange
{
public:
    virtual ~IExchange() = default;

    /// Connects, sends @p request and reads the answer's status and headers.
    /// Nothing, with @p failure set, when that fails; ConnectFailed means that no byte was sent.
    virtual boost::asio::awaitable<std::optional<Response>> open(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure)
        = 0;
    /// Next piece of the body; an empty text at its end. Precondition: open() succeeded.
    virtual boost::asio::awaitable<std::optional<std::string>> readSome(ClientFailure &failure) = 0;
    /// Skips the rest of the answer at hand and reads the head of the next one on the same connection, for a server that answered
    /// an earlier request twice. Precondition: open() succeeded.
    virtual boost::asio::awaitable<std::optional<Response>> openNext(ClientFailure &failure) = 0;
    /// Ends the exchange; a pending call fails with Cancelled. Thread-safe.
    virtual void cancel() = 0;
    /// True when the request went out on a connection that had carried another one. Precondition: open() was called.
    [[nodiscard]] virtual bool reused() const = 0;
};

/// Makes an exchange that runs on @p executor; with a @p pool its connection is taken from there, and given back once the answer
/// was read to its end. Precondition: the pool is used from that executor only.
std::shared_ptr<IExchange> makeExchange(const boost::asio::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool = nullptr);

/// Sends @p request and reads the whole answer on the current executor; nothing, with @p failure set, when any part of that fails.
boost::asio::awaitable<std::optional<Response>> fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure);
/// The same on a connection of @p pool. Precondition: the pool is used from the current executor only.
boost::asio::awaitable<std::optional<Response>>
fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure, std::shared_ptr<ConnectionPool> pool);

}
