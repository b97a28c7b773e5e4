#pragma once

#include "http/ihttpserver.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace rosemaryshift::entry {

/// Marks a request that another host has passed on, so that it is not passed on again.
constexpr std::string_view ForwardedHeader = "Rosemaryshift-Forwarded";

enum class ForwardResult : std::uint8_t {
    Answered,   ///< The caller has the other host's whole answer.
    NotSent,    ///< No byte reached the other host; nothing was told to the caller.
    AnswerLost, ///< The other host may have acted; nothing was told to the caller.
    Broken,     ///< The answer broke off while it was passed on; the caller's connection was closed.
};

/// Passes a caller's request on to the listener for callers at @p callers and the answer back piece by piece.
/// @p idleTimeout bounds the silence of the other host.
boost::asio::awaitable<ForwardResult>
forward(http::Endpoint callers, http::Request request, http::IResponseWriter &writer, std::chrono::milliseconds idleTimeout);

/// True when another host has passed @p request on.
bool isForwarded(const http::Request &request);

}
