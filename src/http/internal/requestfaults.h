#pragma once

#include <boost/beast/core/error.hpp>

#include <string_view>

namespace rosemaryshift::http {

/// What a caller is told whose request cannot be read.
struct RequestFault {
    int status = 400;
    std::string_view code;
    std::string_view message;
};

/// The fault behind an error of reading a request. Thread-safe.
RequestFault faultOf(boost::beast::error_code error);
/// False for a connection that just ended, where nobody waits for an answer. Thread-safe.
bool deservesAnswer(boost::beast::error_code error);

}
