#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::balancing {

/// What a host states of one upstream.
struct SpeedEntry {
    std::uint32_t upstream = 0; ///< Hash of its instance.
    double logRatio = 0;        ///< Mean of the natural logarithms of the samples.
    double weight = 0;          ///< Of the samples; 0 when there are none.
    Duration age{0};            ///< Mean age of the samples.
    std::optional<double> statedSlowness;
    Duration statedAge{0};
};

/// Encodes @p entries in nine bytes each, without the lightest ones where they are too many; empty when there are none. Thread-safe.
std::string encodedSpeedReport(std::vector<SpeedEntry> entries);
/// Decodes what encodedSpeedReport() has written. Later versions may append to the report, with a higher size of an entry. Nothing when @p content is
/// malformed. Thread-safe.
std::optional<std::vector<SpeedEntry>> decodedSpeedReport(std::string_view content);

}
