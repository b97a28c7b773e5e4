#pragma once

#include "base/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace rosemaryshift::limits {

/// Change of an upstream's pause.
enum class PauseChange : std::uint8_t {
    Begun,
    Ended,
};

/// The upstreams that have asked this host for a pause, which is a time without requests. Other hosts are asked by the upstream itself. The current
/// time is passed to each call. Not thread-safe.
class UpstreamPauses
{
public:
    /// Called when a pause begins and when it has ended. @p length: time until its end; zero when it has ended.
    using Listener = std::function<void(const std::string &instance, PauseChange change, Duration length)>;

    /// @p longest: upper bound on a pause, for an upstream that asks for too long a time.
    UpstreamPauses(Duration longest, Listener listener);

    /// Records that @p instance asked for a pause of this @p length. A pause that ends later stays in force.
    void note(const std::string &instance, Duration length, TimePoint now);
    /// Time until @p instance may be sent requests again; nothing when it may be now.
    [[nodiscard]] std::optional<Duration> remaining(const std::string &instance, TimePoint now) const;
    /// Forgets the pauses that have ended.
    void expire(TimePoint now);
    /// Number of upstreams that pause, including those whose pause has ended since expire() was last called.
    [[nodiscard]] std::size_t paused() const;

private:
    const Duration m_longest;
    const Listener m_listener;
    std::map<std::string, TimePoint> m_ends; ///< End of the pause, by instance.
};

}
