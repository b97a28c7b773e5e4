#pragma once

#include "http/httptypes.h"
#include "requests/requesttypes.h"
#include "templates/templatetypes.h"

#include <optional>

namespace rosemaryshift::entry {

/// Converts an HTTP call of a plain service to a request. Returns nothing and sets @p refusal when it is invalid. A call is
/// treated as idempotent only if its method is (RFC 9110, section 9.2.2) or the template declares its path so. Thread-safe.
std::optional<requests::RequestSpec> serviceSpec(const templates::WorkspaceTemplate &workspace, const http::Request &request, requests::Refusal &refusal);

}
