#pragma once

#include "http/httptypes.h"

#include <boost/beast/http.hpp>

#include <chrono>
#include <optional>
#include <string_view>

namespace rosemaryshift::http {

/// Parser of the answers that a client receives.
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// @p request as it is sent to @p endpoint. Thread-safe.
boost::beast::http::request<boost::beast::http::string_body> toMessage(const Endpoint &endpoint, Request request, bool keepAlive);
/// Why the head of an answer whose bytes are @p head, as read by @p parser, is that of no answer; nothing when it is valid. Rejects what RFC 9110 and 9112 do
/// not allow and the parser does: statuses beyond 100 to 599, a switch of protocols that nobody asked for, transfer codings other than "chunked", and folded
/// lines. Thread-safe.
std::optional<std::string_view> headFault(std::string_view head, const ResponseParser &parser);
/// Whether @p parser has read an interim answer (1xx), which the final one follows. Precondition: headFault() found nothing. Thread-safe.
bool isInterim(const ResponseParser &parser);
/// Status, headers and framing of the answer whose head @p parser has read. Thread-safe.
Response toResponse(const ResponseParser &parser);
/// The time for which the server keeps the idle connection, if the head that @p parser has read states one. Thread-safe.
std::optional<std::chrono::milliseconds> statedIdleTimeout(const ResponseParser &parser);

}
