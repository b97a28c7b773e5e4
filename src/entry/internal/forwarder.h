#pragma once

#include "http/ihttpserver.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace rosemaryshift::entry {

/// Header that marks a request forwarded by another entry host, which must not be forwarded again.
constexpr std::string_view ForwardedHeader = "Rosemaryshift-Forwarded";

enum class ForwardResult : std::uint8_t {
    Answered,   ///< The caller received the other host's whole answer.
    NotSent,    ///< No byte reached the other host; the caller received nothing.
    AnswerLost, ///< The other host may have executed the request; the caller received nothing.
    Broken,     ///< The answer broke off while it was relayed, or the caller disconnected; the caller's connection is closed.
};

/// Forwards a caller's request to another entry host, whose listener for callers is at @p callerEndpoint, and relays the
/// answer as it arrives. @p idleTimeout limits how long the other host may send nothing.
boost::asio::awaitable<ForwardResult>
forward(http::Endpoint callerEndpoint, http::Request request, http::IResponseWriter &writer, std::chrono::milliseconds idleTimeout);

/// True when another entry host has forwarded @p request.
bool isForwarded(const http::Request &request);

}
