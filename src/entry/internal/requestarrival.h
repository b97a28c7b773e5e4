#pragma once

#include "decisions/decisiontypes.h"
#include "requests/requestregistry.h"

namespace rosemaryshift::entry {

/// Event that submits @p record to the decision core, with the number of tokens answered so far. Thread-safe.
decisions::RequestArrived arrivalEvent(const requests::RequestRecord &record, WorkspaceId workspace, TargetId target);

}
