#pragma once

#include "gateway/internal/gatewaycontext.h"

#include <map>
#include <string>

namespace rosemaryshift::gateway {

/// The load of this host's requests by service, as the number of upstreams that it would fully occupy: the part spent on prefill (reading prompts)
/// plus the part of the batch slots in use. Only for services with an engine. Used from the gateway's thread.
std::map<std::string, double> localBusyUpstreams(const GatewayContext &context, TimePoint now);

/// Mean speed of the upstreams of @p service that do not leave, in units of the upstream that serves the average request of this host; 1 when the hosts do
/// not measure them together. A load in such units takes that many times fewer upstreams. Used from the gateway's thread.
double meanUpstreamSpeed(const GatewayContext &context, std::string_view service, TimePoint now);

}
