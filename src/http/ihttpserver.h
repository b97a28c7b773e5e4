#pragma once

#include "http/httptypes.h"
#include "http/iserverobserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rosemaryshift::http {

/// Sends the answer to one request, either at once or as a stream. Used from the coroutine of its connection only.
class IResponseWriter
{
public:
    virtual ~IResponseWriter() = default;

    /// Sends a complete answer; false when writing fails, as after the caller has disconnected. Aborts an answer that was begun and has not ended instead.
    virtual boost::asio::awaitable<bool> respond(Response response) = 0;
    /// Starts a streamed answer; false when writing fails. Precondition: nothing was sent yet.
    virtual boost::asio::awaitable<bool> begin(int status, Headers headers) = 0;
    /// Sends the next bytes of a streamed answer; false when writing fails. Precondition: begin() returned true.
    virtual boost::asio::awaitable<bool> write(std::string_view piece) = 0;
    /// Ends a streamed answer; false when writing fails.
    virtual boost::asio::awaitable<bool> end() = 0;
    /// Closes the connection without ending the answer, so that the caller can tell that it is incomplete.
    virtual void abort() = 0;
    /// Calls @p callback once, on the connection's executor, if the caller disconnects before the answer is complete.
    virtual void onCallerGone(std::function<void()> callback) = 0;
    /// True once the connection was found closed or broken before the answer was complete. A disconnect of the caller is
    /// detected without writing only after onCallerGone().
    [[nodiscard]] virtual bool callerGone() const = 0;
    /// Looks at the connection now and returns callerGone(). Detects a disconnect before the callback of onCallerGone() gets its turn, and without one; not
    /// while bytes of a further request wait to be read.
    virtual bool detectCallerGone() = 0;
    /// Sets the id under which the request is reported to the observer if it gets no complete answer.
    virtual void setRequestId(std::string_view id) = 0;
    /// True once sending the answer has started.
    [[nodiscard]] virtual bool started() const = 0;
};

/// Handles one request and answers it through @p writer.
using RequestHandler = std::function<boost::asio::awaitable<void>(Request request, IResponseWriter &writer)>;

/// HTTP server on one address. Passes each well-formed request to a handler; answers malformed, oversized and slow requests
/// itself with a JSON error of the form {"error":{"message","type","code"}}.
class IHttpServer
{
public:
    virtual ~IHttpServer() = default;

    /// The address that the server listens on, with the port that the system assigned. Thread-safe.
    [[nodiscard]] virtual Endpoint endpoint() const = 0;
    /// Stops accepting connections and closes idle ones. Running requests continue, and connections that were opened before have
    /// 1 s to send their first request. Thread-safe.
    virtual void stopAccepting() = 0;
    /// Closes each connection after its next answer, so that callers connect elsewhere; requests are still accepted. Thread-safe.
    virtual void announceClose() = 0;
    /// Replaces the limits for later requests. Not thread-safe: call from the only thread of the server's context.
    virtual void setLimits(const ServerLimits &limits) = 0;
    /// Number of open connections. Thread-safe.
    [[nodiscard]] virtual std::size_t connections() const = 0;
};

/// Starts a server on @p endpoint; the system assigns a port when it is 0. Each connection runs on its own strand of @p context.
/// Null, with @p reason set, when the server cannot listen on the address. @p observer may be null; the connections share its ownership.
std::unique_ptr<IHttpServer> makeHttpServer(boost::asio::io_context &context,
                                            const Endpoint &endpoint,
                                            const ServerLimits &limits,
                                            RequestHandler handler,
                                            std::string &reason,
                                            std::shared_ptr<IServerObserver> observer = nullptr);

}
