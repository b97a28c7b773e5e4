#pragma once

#include "gateway/internal/gatewaycontext.h"

#include <map>
#include <string>

namespace rosemaryshift::gateway {

/// Upstreams that this host's requests keep busy, by service: by the prompts that are read, and by the places in batches that are taken.
/// Used from the gateway's thread.
std::map<std::string, double> ownBusyUpstreams(const GatewayContext &context, TimePoint now);

}
