#pragma once

#include "gateway/igateway.h"
#include "gateway/internal/gatewaymetrics.h"

namespace rosemaryshift::gateway {

/// Returns @p ports with logs that record how long each call took, by topic and outcome, in @p metrics. Precondition: @p metrics outlives all calls.
PlatformPorts withMeasuredLogs(PlatformPorts ports, GatewayMetrics &metrics);

}
