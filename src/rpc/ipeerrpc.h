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

/// Calls other hosts by JSON-RPC 2.0 over HTTP, each call on a connection of its own. Calls may run side by side; each
/// resumes on the executor of its caller. Both ways carry the hybrid clock.
class IPeerClient
{
public:
    virtual ~IPeerClient() = default;

    /// Calls @p method at the listener for peers at @p peer; nothing, with @p failure set, when that failed or took longer than @p timeout.
    virtual boost::asio::awaitable<std::optional<Json::Value>>
    call(http::Endpoint peer, std::string method, Json::Value params, std::chrono::milliseconds timeout, RpcFailure &failure) = 0;
};

/// A method of this host; nothing when the parameters are malformed. Runs on the control thread and must not wait.
using PeerMethod = std::function<std::optional<Json::Value>(const Json::Value &params)>;

/// Serves calls of other hosts.
class IPeerServer
{
public:
    virtual ~IPeerServer() = default;

    /// Adds a method. Precondition: the server does not serve yet and has no method of this name.
    virtual void add(const std::string &method, PeerMethod handler) = 0;
    /// Serves one call. Thread-safe.
    virtual boost::asio::awaitable<void> handle(http::Request request, http::IResponseWriter &writer) = 0;
};

std::shared_ptr<IPeerClient> makePeerClient(std::string token, std::shared_ptr<timeline::IHybridClock> clock);
/// Makes a server whose methods run on @p control.
std::unique_ptr<IPeerServer> makePeerServer(const boost::asio::any_io_executor &control, std::string token, std::shared_ptr<timeline::IHybridClock> clock);

}
