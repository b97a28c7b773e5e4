#pragma once

#include "http/httptypes.h"

#include <boost/beast/http.hpp>

namespace rosemaryshift::http {

/// Parser of the answers that a client receives.
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// @p request as it is sent to @p endpoint. Thread-safe.
boost::beast::http::request<boost::beast::http::string_body> toMessage(const Endpoint &endpoint, Request request, bool keepAlive);
/// Status, headers and framing of the answer whose head @p parser has read. Thread-safe.
Response toResponse(const ResponseParser &parser);

}
