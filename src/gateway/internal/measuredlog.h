#pragma once

#include "gateway/igateway.h"
#include "gateway/internal/gatewaymetrics.h"
#include "gateway/internal/logeratracker.h"

namespace rosemaryshift::gateway {

/// Returns @p ports with logs that record how long each call took, by topic and outcome, in @p metrics, and note the era that each answer states in @p era;
/// answers of an earlier era fail as superseded. Precondition: @p metrics and @p era outlive all calls.
PlatformPorts withMeasuredLogs(PlatformPorts ports, GatewayMetrics &metrics, LogEraTracker &era);

}
