#include "gateway/internal/contextgauges.h"

namespace rosemaryshift::gateway {

void updateGauges(GatewayContext &context, TimePoint now)
{
    GatewayMetrics &metrics = context.metrics;
    metrics.set("rosemaryshift_quarantined_prompt_parts", "", static_cast<double>(context.quarantine.quarantined(quarantine::SuspectKind::PromptPart)));
    metrics.set("rosemaryshift_quarantined_requests", "", static_cast<double>(context.quarantine.quarantined(quarantine::SuspectKind::Request)));
    metrics.set("rosemaryshift_paused_upstreams", "", static_cast<double>(context.upstreamPauses.paused()));
    metrics.set("rosemaryshift_limited_upstreams", "", static_cast<double>(context.upstreamLimits.limitedUpstreams()));
    metrics.set("rosemaryshift_admitted_share", "", context.admission->admittedShare());
    metrics.set("rosemaryshift_idle_upstream_connections", "", static_cast<double>(context.upstreamConnections->size()));
    metrics.set("rosemaryshift_configuration_version", "", static_cast<double>(context.configuration.version()));
    metrics.set("rosemaryshift_configuration_known_version", "", static_cast<double>(context.configuration.knownVersion()));
    metrics.set("rosemaryshift_configuration_age_seconds", "", std::chrono::duration<double>(context.configuration.age(now).value_or(Duration::max())).count());
    metrics.set("rosemaryshift_held_bytes", "", static_cast<double>(context.heldBytes->used()));
    metrics.set("rosemaryshift_upstreams", "", static_cast<double>(context.directory.all().size()));
    metrics.set("rosemaryshift_log_lines_dropped", "", static_cast<double>(context.eventLog.dropped()));
}

}
