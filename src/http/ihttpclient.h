#pragma once

#include "http/httptypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::http {

/// One exchange with a server on a connection of its own. Used from one coroutine; cancel() may be called from any thread.
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
    /// Ends the exchange; a pending call fails with Cancelled. Thread-safe.
    virtual void cancel() = 0;
};

/// Makes an exchange that runs on @p executor.
std::shared_ptr<IExchange> makeExchange(const boost::asio::any_io_executor &executor);

/// Sends @p request and reads the whole answer on the current executor; nothing, with @p failure set, when any part of that fails.
boost::asio::awaitable<std::optional<Response>> fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure);

}
