#pragma once

#include <cstdint>
#include <limits>
#include <string>

namespace rosemaryshift {

/// One fault in a settings or template file.
struct SettingsError {
    std::string file;
    std::uint32_t line = 0;
    std::string reason;

    /// "file:line: reason".
    [[nodiscard]] std::string text() const;
};

/// A setting that was asked for and is not given.
struct AbsentSetting {
    std::string path;     ///< "table.key".
    std::string fallback; ///< What holds instead, as text; empty when nothing does.

    bool operator==(const AbsentSetting &) const = default;
};

/// Inclusive bounds of a whole number.
struct NumberRange {
    std::uint64_t min = 0;
    std::uint64_t max = std::numeric_limits<std::int64_t>::max();
};

/// Inclusive bounds of a real number.
struct RealRange {
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

}
