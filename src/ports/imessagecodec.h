#pragma once

#include "http/httptypes.h"
#include "ports/messages.h"

#include <optional>
#include <string>

namespace rosemaryshift::ports {

/// Reads and writes what callers, upstreams and the system tell each other in headers. Thread-safe.
class IMessageCodec
{
public:
    virtual ~IMessageCodec() = default;

    /// What @p request says; nothing, with @p reason set, when a header that decides about it cannot be read.
    [[nodiscard]] virtual std::optional<CallerRequest> callerRequest(const http::Request &request, std::string &reason) const = 0;
    /// The headers of @p request for an upstream: the caller's, without its key and without what only the system may set, and the offer's.
    [[nodiscard]] virtual http::Headers dispatchHeaders(const http::Request &request, const Dispatch &dispatch) const = 0;
    /// What an upstream says in the head of its answer.
    [[nodiscard]] virtual ResponseMetadata responseMetadata(const http::Response &response) const = 0;
};

}
