#include "http/internal/transfercoding.h"

#include <boost/beast/core/string.hpp>

#include <iterator>

namespace rosemaryshift::http {

bool isBodyReadable(const boost::beast::http::fields &fields, unsigned int version)
{
    constexpr unsigned int FirstWithChunks = 11;
    const auto codings = fields.equal_range(boost::beast::http::field::transfer_encoding);
    if (codings.first == codings.second) {
        return true;
    }
    return version >= FirstWithChunks && std::next(codings.first) == codings.second && boost::beast::iequals(codings.first->value(), "chunked");
}

}
