#pragma once

#include "decisions/tables.h"

namespace rosemaryshift::decisions {

/// Latest start of an attempt that can meet the request's targets, from what the same kind of work took so far.
TimePoint latestStart(Tables &tables, const RequestRow &request);
/// When the first token of an attempt that starts at @p start is late; the deadline when that cannot be told.
TimePoint hedgeTime(Tables &tables, const RequestRow &request, TimePoint start);
/// Requests of the same kind that start before one that is queued now, while workspaces take turns.
std::size_t queuedAhead(Tables &tables, const RequestRow &request);
/// Time until @p ahead queued requests of the same kind have started, by Little's law; nothing before any such work ended.
std::optional<Duration> estimatedWait(Tables &tables, const RequestRow &request, std::size_t ahead);

}
