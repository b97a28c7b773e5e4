#include "gateway/internal/peerheaders.h"

#include "base/text.h"

namespace rosemaryshift::gateway {

http::Headers withoutHeader(const http::Headers &headers, std::string_view name)
{
    http::Headers others;
    for (const http::Header &field : headers.all()) {
        if (!equalIgnoringCase(field.name, name)) {
            others.add(field.name, field.value);
        }
    }
    return others;
}

}
