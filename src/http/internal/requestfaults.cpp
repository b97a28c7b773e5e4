#include "http/internal/requestfaults.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace rosemaryshift::http {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

RequestFault requestFault(beast::error_code error)
{
    if (error == bhttp::error::header_limit) {
        return {431, "header_too_large", "the header is larger than this server accepts"};
    }
    if (error == bhttp::error::buffer_overflow) {
        return {431, "framing_too_large", "the size line of a chunk or the trailer is larger than this server accepts"};
    }
    if (error == bhttp::error::body_limit) {
        return {413, "body_too_large", "the body is larger than this server accepts"};
    }
    if (error == boost::system::errc::not_enough_memory) {
        return {503, "out_of_memory", "this server holds as many bytes of requests and answers as it may"};
    }
    if (error == beast::error::timeout) {
        return {408, "request_timeout", "the request did not arrive in time"};
    }
    return {400, "malformed_request", "the request is not valid HTTP"};
}

bool needsAnswer(beast::error_code error)
{
    return error == beast::error::timeout || error == boost::system::errc::not_enough_memory
        || (error.category() == make_error_code(bhttp::error::bad_method).category() && error != bhttp::error::end_of_stream
            && error != bhttp::error::partial_message);
}

}
