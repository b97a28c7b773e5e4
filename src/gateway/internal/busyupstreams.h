#pragma once

#include "gateway/internal/gatewaycontext.h"

#include <map>
#include <string>

namespace rosemaryshift::gateway {

/// The load of this host's requests by service, as the number of upstreams that it would fully occupy: the part spent on prefill (reading prompts)
/// plus the part of the batch slots in use. Only for services with an engine. Used from the gateway's thread.
std::map<std::string, double> localBusyUpstreams(const GatewayContext &context, TimePoint now);

}
