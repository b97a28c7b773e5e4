#pragma once

#include "base/types.h"
#include "quarantine/internal/evidencelimits.h"

#include <algorithm>
#include <cstdint>

namespace rosemaryshift::quarantine {

/// Whole milliseconds from @p earlier to @p later; 0 when it is not earlier. Thread-safe.
inline std::uint64_t millisecondsBetween(TimePoint earlier, TimePoint later)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(later - earlier).count()));
}

/// Ages beyond any lifetime are taken as that lifetime. Thread-safe.
inline std::chrono::milliseconds limitedAge(std::uint64_t ageMs)
{
    constexpr std::uint64_t MaxAgeMs = std::chrono::milliseconds(QuarantineLifetime).count();
    return std::chrono::milliseconds(std::min(ageMs, MaxAgeMs));
}

/// The time @p ageMs before @p now. Thread-safe.
inline TimePoint timeOf(std::uint64_t ageMs, TimePoint now)
{
    return now - limitedAge(ageMs);
}

}
