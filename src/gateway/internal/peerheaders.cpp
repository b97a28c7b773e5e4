#include "gateway/internal/peerheaders.h"

#include "base/text.h"

namespace rosemaryshift::gateway {

bool declines(const http::Response &answer)
{
    // Sent in place of an answer when the handling of an accepted request has failed, and then without the header.
    constexpr int InternalError = 500;
    return answer.status != InternalError && !answer.headers.find(PeerAnswerHeader);
}

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
