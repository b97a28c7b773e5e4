#pragma once

#include "base/types.h"
#include "configurations/changesource.h"
#include "routing/routetable.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace rosemaryshift::gateway {

/// The configuration in force on this host, how long ago it was last confirmed as the newest one, and the newest version that is known to exist. Versions only
/// grow. Not thread-safe.
class ActiveConfiguration
{
public:
    /// Puts @p configuration in force; @p text is what the operators wrote. Returns false, and changes nothing, when it is not newer than the one in
    /// force.
    bool accept(routing::Configuration configuration, configurations::LoggedText text);
    /// Records that no configuration newer than @p version existed at the time @p at, as this host or another one has read.
    void confirm(std::uint64_t version, TimePoint at);
    /// The same, as this host has read from the log itself. If a newer version was known before @p at, the log has lost it, so that it is no longer known.
    void confirmByLog(std::uint64_t version, TimePoint at);

    /// Notes that @p version is in force at another host, as was learned at @p at.
    void noteKnown(std::uint64_t version, TimePoint at);
    /// Forgets newer versions than the one in force, which no other host is heard to have. Only for an outage of the log, in which nobody can get them.
    void forgetKnown();

    /// The routes and the configuration in force; null before the first one.
    [[nodiscard]] const std::shared_ptr<const routing::RouteTable> &table() const;
    /// Version of the configuration in force; 0 before the first one.
    [[nodiscard]] std::uint64_t version() const;
    /// Newest version that is known to exist, in force here or told by a peer.
    [[nodiscard]] std::uint64_t knownVersion() const;
    /// Texts of the configuration in force and of those before it, for peers that fetch it.
    [[nodiscard]] configurations::ChangeSource &texts();
    [[nodiscard]] const configurations::ChangeSource &texts() const;
    /// The route of the configuration in force that was decoded from @p section; null when there is none.
    [[nodiscard]] std::shared_ptr<const routing::Route> decodedRoute(const configurations::Section &section) const;
    /// Time since the configuration in force was last confirmed as the newest one; nothing when it never was.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;
    /// Whether a newer configuration is known to exist, and the one in force was last confirmed longer ago than @p maxDelay.
    [[nodiscard]] bool outdated(TimePoint now, Duration maxDelay) const;

private:
    std::shared_ptr<const routing::RouteTable> m_table;
    configurations::ChangeSource m_texts;
    std::unordered_map<const configurations::Section *, std::shared_ptr<const routing::Route>> m_decodedRoutes; ///< By section of the text in force.
    std::optional<TimePoint> m_confirmedAt;
    std::uint64_t m_knownVersion = 0; ///< Newest version that is in force at another host.
    TimePoint m_knownAt;              ///< When that was learned.
};

}
