#include "gateway/internal/peerheaders.h"

#include <boost/algorithm/string/predicate.hpp>

namespace rosemaryshift::gateway {

http::Headers withoutHeader(const http::Headers &headers, std::string_view name)
{
    http::Headers others;
    for (const http::Header &field : headers.all()) {
        if (!boost::algorithm::iequals(field.name, name)) {
            others.add(field.name, field.value);
        }
    }
    return others;
}

}
