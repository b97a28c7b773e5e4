#pragma once

#include "base/types.h"
#include "directory/upstreamdirectory.h"

#include <map>
#include <optional>
#include <string>

namespace rosemaryshift::directory {

/// Tracks whether the process behind an upstream's address is certainly the listed run. After a restart the list still shows the run before, for as
/// long as the new one takes to be listed; only lost connections tell of the restart then. Each call passes the current time. Not thread-safe.
class RunContinuity
{
public:
    /// @p listingDelay: time within which a run that serves is in the list.
    explicit RunContinuity(Duration listingDelay);

    /// Notes that no connection to @p instance was left, or that none could be opened.
    void noteConnectionsLost(const std::string &instance, TimePoint now);
    /// Notes that @p instance has answered a request.
    void noteAnswer(const std::string &instance, TimePoint now);
    /// Notes that the list was read, as it was at @p now.
    void noteListRead(TimePoint now);
    /// Forgets an upstream that is gone.
    void forget(const std::string &instance);
    /// Whether the process that answers as @p upstream is the listed run.
    [[nodiscard]] bool certain(const Upstream &upstream) const;

private:
    struct Interruption {
        TimePoint at;                        ///< When the connections were last found lost.
        std::optional<TimePoint> answeredAt; ///< The first answer after that.
    };

    const Duration m_listingDelay;
    std::map<std::string, Interruption> m_interruptions;
};

}
