#pragma once

#include "gateway/internal/gatewaycontext.h"

namespace rosemaryshift::gateway {

/// Sets the gauges of what the components of one gateway share, before the metrics are read. Used from the gateway's thread.
void updateGauges(GatewayContext &context, TimePoint now);

}
