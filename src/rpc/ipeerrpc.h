#pragma once

#include "http/ihttpserver.h"
#include "rpc/rpctypes.h"
#include "timeline/itimeline.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::rpc {

/// Calls methods of other hosts by JSON-RPC 2.0 over HTTP, each call on its own connection. Calls may run concurrently; each
/// resumes on the executor of its caller. Requests and responses carry a stamp of the hybrid logical clock.
class IPeerClient
{
public:
    virtual ~IPeerClient() = default;

    /// Calls @p method of the host whose peer endpoint is @p peer. Returns nothing and sets @p failure when the call failed or
    /// took longer than @p timeout.
    virtual boost::asio::awaitable<std::optional<Json::Value>>
    call(http::Endpoint peer, std::string method, Json::Value params, std::chrono::milliseconds timeout, RpcFailure &failure) = 0;
};

/// A method that other hosts can call. Returns nothing when the parameters are malformed or the call is refused. Runs on the
/// control thread and must not block.
using PeerMethod = std::function<std::optional<Json::Value>(const Json::Value &params)>;

/// Serves the calls that other hosts make to this one.
class IPeerServer
{
public:
    virtual ~IPeerServer() = default;

    /// Adds a method. Precondition: the server has no method of this name and has not served a call yet.
    virtual void add(const std::string &method, PeerMethod handler) = 0;
    /// Checks the token of one call, serves it and writes the response. Thread-safe.
    virtual boost::asio::awaitable<void> handle(http::Request request, http::IResponseWriter &writer) = 0;
};

/// Creates a client that sends @p token with each call.
std::shared_ptr<IPeerClient> makePeerClient(std::string token, std::shared_ptr<timeline::IHybridClock> clock);
/// Creates a server that accepts only calls with @p token and runs its methods on @p control.
std::unique_ptr<IPeerServer> makePeerServer(const boost::asio::any_io_executor &control, std::string token, std::shared_ptr<timeline::IHybridClock> clock);

}
