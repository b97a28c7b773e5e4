#pragma once

#include "http/httptypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rosemaryshift::http {

/// Answers one request, whole or in pieces. Used from the coroutine of its connection only.
class IResponseWriter
{
public:
    virtual ~IResponseWriter() = default;

    /// Sends a whole answer; false when the caller is gone.
    virtual boost::asio::awaitable<bool> respond(Response response) = 0;
    /// Starts an answer in pieces. Precondition: nothing was sent yet. False when the caller is gone.
    virtual boost::asio::awaitable<bool> begin(int status, Headers headers) = 0;
    /// Sends one piece. Precondition: begin() returned true. False when the caller is gone.
    virtual boost::asio::awaitable<bool> write(std::string_view piece) = 0;
    /// Ends an answer in pieces.
    virtual boost::asio::awaitable<bool> end() = 0;
    /// Closes the connection without ending the answer, so that the caller can tell it is not whole.
    virtual void abort() = 0;
    /// Calls @p callback once, on the connection's executor, if the caller closes before the answer has ended.
    virtual void onCallerGone(std::function<void()> callback) = 0;
    /// True once the caller was seen to close before the answer has ended. Only watched for after onCallerGone().
    [[nodiscard]] virtual bool callerGone() const = 0;
    /// True once something of the answer was sent.
    [[nodiscard]] virtual bool started() const = 0;
};

using RequestHandler = std::function<boost::asio::awaitable<void>(Request request, IResponseWriter &writer)>;

/// Listens on one address and hands each well-formed request to a handler; malformed, oversized and slow ones it
/// refuses itself, with a JSON error of the shape {"error":{"message","type","code"}}.
class IHttpServer
{
public:
    virtual ~IHttpServer() = default;

    /// The address listened on, with the port the system chose. Thread-safe.
    [[nodiscard]] virtual Endpoint endpoint() const = 0;
    /// Stops accepting; running requests go on, idle connections close, and connections opened before get a short time
    /// for their first request. Thread-safe.
    virtual void stopAccepting() = 0;
    /// Ends each connection behind its next answer, while requests are still taken, so that callers move away. Thread-safe.
    virtual void announceClose() = 0;
    /// Takes other bounds for the requests that follow. Not thread-safe: call from the only thread of the server's context.
    virtual void setLimits(const ServerLimits &limits) = 0;
    /// Number of open connections. Thread-safe.
    [[nodiscard]] virtual std::size_t connections() const = 0;
};

/// Starts a server on @p endpoint; port 0 means the system chooses. Each connection runs on its own strand of @p context.
/// Nothing, with @p reason set, when the address cannot be listened on.
std::unique_ptr<IHttpServer>
makeHttpServer(boost::asio::io_context &context, const Endpoint &endpoint, const ServerLimits &limits, RequestHandler handler, std::string &reason);

}
