#pragma once

#include "base/types.h"

#include <string>

namespace rosemaryshift::metrics {

/// Labels of the series that a request is counted in.
struct RequestLabels {
    std::string workspace;
    TrafficClass trafficClass = TrafficClass::Question;
};

/// How a request ended on this host.
enum class RequestOutcome : std::uint8_t {
    Completed,
    Refused,
    CallerGone, ///< All callers disconnected; the request may come back.
};

/// Stable lower-case name of a request outcome, as in the metrics. Thread-safe.
std::string_view name(RequestOutcome outcome);

}
