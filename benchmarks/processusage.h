#pragma once

#include "support/fleet.h"

namespace rosemaryshift::testing {

/// Resources that one process has used since its start.
struct Usage {
    double controlSeconds = 0; ///< Processor time of the control thread.
    double trafficSeconds = 0; ///< Processor time of the traffic threads.
    double residentKb = 0;     ///< Current resident set size, in units of 1024 bytes.
};

/// Resources used by the process of @p entry, read from /proc.
Usage usageOf(const EntryProcess &entry);

}
