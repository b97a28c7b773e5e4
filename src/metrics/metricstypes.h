#pragma once

#include "base/types.h"

#include <string>

namespace rosemaryshift::metrics {

/// What requests are counted by.
struct RequestLabels {
    std::string workspace;
    TrafficClass trafficClass = TrafficClass::Question;
};

/// How a request ended on this host.
enum class RequestOutcome : std::uint8_t {
    Completed,
    Refused,
    CallerGone, ///< All callers left; it may come back.
};

/// Stable lower-case name. Thread-safe.
std::string_view name(RequestOutcome outcome);

}
