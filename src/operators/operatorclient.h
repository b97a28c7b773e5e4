#pragma once

#include "http/httptypes.h"

#include <json/value.h>

#include <optional>
#include <string>

namespace rosemaryshift::operators {

/// How to reach one host's listener for operators.
struct OperatorTarget {
    http::Endpoint endpoint;
    std::string token;
};

/// Answer of a host to an operator.
struct OperatorAnswer {
    int status = 0;
    Json::Value body;
};

/// Sends one call and waits for its whole answer; nothing, with @p reason set, when there is none or it is not JSON.
/// Blocks the calling thread. Thread-safe.
std::optional<OperatorAnswer>
callOperator(const OperatorTarget &target, const std::string &method, const std::string &path, const Json::Value &body, std::string &reason);

}
