#pragma once

#include "http/httptypes.h"

#include <json/value.h>

#include <optional>
#include <string>

namespace rosemaryshift::operators {

/// Address of one host's listener for operators, and the token to present there.
struct OperatorTarget {
    http::Endpoint endpoint;
    std::string token;
};

/// HTTP status and JSON body of a host's answer to an operator's request.
struct OperatorAnswer {
    int status = 0;
    Json::Value body;
};

/// Sends one request and waits for the whole answer; nothing, with @p reason set, when no answer comes or it is not JSON.
/// Blocks the calling thread. Thread-safe.
std::optional<OperatorAnswer>
callOperator(const OperatorTarget &target, const std::string &method, const std::string &path, const Json::Value &body, std::string &reason);

}
