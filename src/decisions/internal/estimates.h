#pragma once

#include "decisions/tables.h"

namespace rosemaryshift::decisions {

/// Returns the latest start of an attempt that can meet the request's time limits, estimated from earlier requests of the same traffic class and
/// target.
TimePoint latestStart(Tables &tables, const RequestRow &request);
/// Returns when the first token of an attempt that starts at @p start counts as late; the deadline before any first token was measured.
TimePoint hedgeTime(Tables &tables, const RequestRow &request, TimePoint start);
/// Returns how many queued requests of the same traffic class and target start before a request that is queued now, with round-robin over the
/// workspaces.
std::size_t queuedAhead(Tables &tables, const RequestRow &request);
/// Returns the estimated time until a request with @p ahead queued requests of the same traffic class and target before it can start, by Little's
/// law; nothing before any such request has completed.
std::optional<Duration> estimatedWait(Tables &tables, const RequestRow &request, std::size_t ahead);

}
