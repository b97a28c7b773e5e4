#pragma once

#include "base/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace rosemaryshift::limits {

/// The numbers of requests per second that upstreams state in their answers as the most that they accept from all hosts together. The current time
/// is passed to each call. Not thread-safe.
class UpstreamLimits
{
public:
    /// Called with the id of an upstream whose limit has changed, and the new limit; nothing when it has been lifted.
    using Listener = std::function<void(const std::string &instance, std::optional<double> perSecond)>;

    explicit UpstreamLimits(Listener listener);

    /// Records an answer of @p instance to a request that was sent at @p sentAt. @p perSecond: the limit that it states, if any. An answer without
    /// one lifts a limit only if its request was sent after the limit was last stated, since answers overtake each other.
    void noteAnswer(const std::string &instance, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);
    /// The limit that @p instance has stated; nothing when it has none.
    [[nodiscard]] std::optional<double> perSecond(const std::string &instance) const;

private:
    struct Limit {
        double perSecond = 0;
        TimePoint statedAt; ///< When the limit was last stated.
    };

    const Listener m_listener;
    std::map<std::string, Limit> m_limits;
};

}
