#pragma once

#include "http/httptypes.h"
#include "requests/requesttypes.h"
#include "templates/templatetypes.h"

#include <optional>

namespace rosemaryshift::entry {

/// Turns a caller's call of a plain service into a request; nothing, with @p refusal set, when it cannot be served.
/// A call is taken for not idempotent unless its method is (RFC 9110, section 9.2.2) or the template says so. Thread-safe.
std::optional<requests::RequestSpec> serviceSpec(const templates::WorkspaceTemplate &workspace, const http::Request &request, requests::Refusal &refusal);

}
