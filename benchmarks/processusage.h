#pragma once

#include "support/fleet.h"

namespace rosemaryshift::testing {

/// What one process has used up to now.
struct Usage {
    double controlSeconds = 0; ///< Processor time of the control thread.
    double trafficSeconds = 0; ///< Processor time of the traffic threads.
    double residentKb = 0;
};

/// What the process of @p entry has used up to now (proc(5)).
Usage usageOf(const EntryProcess &entry);

}
