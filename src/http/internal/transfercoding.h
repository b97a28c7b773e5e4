#pragma once

#include <boost/beast/http/fields.hpp>

namespace rosemaryshift::http {

/// Whether the body of a message of HTTP @p version (10 or 11) with the header @p fields has no transfer coding, or "chunked" alone, so that its bytes and its
/// end are what the sender meant. Thread-safe.
bool isBodyReadable(const boost::beast::http::fields &fields, unsigned int version);

}
