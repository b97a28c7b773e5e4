#pragma once

#include "ports/iplatformlog.h"

#include <cstdint>
#include <functional>

namespace rosemaryshift::gateway {

/// Knows the era of the platform's log, from the log's answers and from hosts that read it. When the era rises, what this host has written lately may be
/// gone, and each writer decides for its own records. Not thread-safe.
class LogEraTracker
{
public:
    /// Called with the new era when it rises.
    using Listener = std::function<void(std::uint64_t era)>;

    explicit LogEraTracker(Listener listener = {});

    /// Notes an answer that states @p era. Returns false when a later era is known, so that what the answer says may no longer hold.
    bool note(ports::LogEra era);
    /// The latest known era; nothing while none was stated.
    [[nodiscard]] ports::LogEra current() const;
    /// Number of times that the era rose while this process ran.
    [[nodiscard]] std::uint64_t rises() const;

private:
    const Listener m_listener;
    ports::LogEra m_current;
    bool m_noted = false; ///< An answer was noted, with an era or without.
    std::uint64_t m_rises = 0;
};

}
