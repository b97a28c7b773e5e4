#pragma once

#include <cstdint>
#include <limits>
#include <string>

namespace rosemaryshift {

/// One error in a settings or template file.
struct SettingsError {
    std::string file;
    std::uint32_t line = 0;
    std::string reason;

    /// The error as "file:line: reason".
    [[nodiscard]] std::string text() const;
};

/// A setting that was looked up but is absent from the file.
struct AbsentSetting {
    std::string path;     ///< Keys from the root to the setting, as in "table.key" or "tables[0].key".
    std::string fallback; ///< Default value used instead, as text; empty when there is none.

    bool operator==(const AbsentSetting &) const = default;
};

/// Inclusive bounds of an integer setting.
struct NumberRange {
    std::uint64_t min = 0;
    std::uint64_t max = std::numeric_limits<std::int64_t>::max();
};

/// Inclusive bounds of a floating-point setting.
struct RealRange {
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

}
