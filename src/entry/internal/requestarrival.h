#pragma once

#include "decisions/decisiontypes.h"
#include "requests/requestregistry.h"

namespace rosemaryshift::entry {

/// The event that hands @p record to the decision core, with the answer it has so far. Thread-safe.
decisions::RequestArrived arrivalEvent(const requests::RequestRecord &record, WorkspaceId workspace, TargetId target);

}
