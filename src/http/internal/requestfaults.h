#pragma once

#include <boost/beast/core/error.hpp>

#include <string_view>

namespace rosemaryshift::http {

/// Error response to a request that cannot be read.
struct RequestFault {
    int status = 400;
    std::string_view code;
    std::string_view message;
};

/// Maps an error from reading a request to the error response. Thread-safe.
RequestFault requestFault(boost::beast::error_code error);
/// True when the caller gets a response for @p error; false when the connection ended. Thread-safe.
bool needsAnswer(boost::beast::error_code error);

}
