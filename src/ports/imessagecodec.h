#pragma once

#include "http/httptypes.h"
#include "ports/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::ports {

/// Reads and writes the HTTP headers that callers, upstreams and gateways exchange. Thread-safe.
class IMessageCodec
{
public:
    virtual ~IMessageCodec() = default;

    /// Parses the headers of a caller's @p request. Returns nothing, and sets @p reason, when a header that affects its handling is malformed.
    [[nodiscard]] virtual std::optional<CallerRequest> callerRequest(const http::Request &request, std::string &reason) const = 0;
    /// Whether the platform defines @p header between callers and upstreams, so that a caller cannot declare it to concern one connection only.
    [[nodiscard]] virtual bool isEndToEnd(std::string_view header) const = 0;
    /// The headers to send to an upstream: those of the caller's @p request, without its API key and the headers that only the gateway may set, and
    /// those for @p dispatch.
    [[nodiscard]] virtual http::Headers dispatchHeaders(const http::Request &request, const Dispatch &dispatch) const = 0;
    /// The headers of a caller's @p request as a peer receives them that handles it in place of this host: unchanged but for the time left.
    [[nodiscard]] virtual http::Headers forwardedHeaders(const http::Request &request, std::chrono::milliseconds timeLeft) const = 0;
    /// Parses the headers of an upstream's response.
    [[nodiscard]] virtual ResponseMetadata responseMetadata(const http::Response &response) const = 0;
};

}
