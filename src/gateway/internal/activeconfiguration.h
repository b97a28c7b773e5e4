#pragma once

#include "base/types.h"
#include "routing/routetable.h"

#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::gateway {

/// The configuration in force on this host, how long ago it was last confirmed as the newest one, and the newest version that is known to exist. Versions only
/// grow. Not thread-safe.
class ActiveConfiguration
{
public:
    /// Puts @p configuration in force; @p text is what the operators wrote. Returns false, and changes nothing, when it is not newer than the one in
    /// force.
    bool accept(routing::Configuration configuration, std::string text);
    /// Records that no configuration newer than @p version existed at the time @p at.
    void confirm(std::uint64_t version, TimePoint at);

    /// Sets the newest @p version that is known to be in force at a peer.
    void setKnownVersion(std::uint64_t version);

    /// The routes and the configuration in force; null before the first one.
    [[nodiscard]] const std::shared_ptr<const routing::RouteTable> &table() const;
    /// Version of the configuration in force; 0 before the first one.
    [[nodiscard]] std::uint64_t version() const;
    /// Newest version that is known to exist, in force here or told by a peer.
    [[nodiscard]] std::uint64_t knownVersion() const;
    /// Text of the configuration in force, for peers that fetch it; empty before the first one.
    [[nodiscard]] const std::string &text() const;
    /// Time since the configuration in force was last confirmed as the newest one; nothing when it never was.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;
    /// Whether a newer configuration is known to exist, and the one in force was last confirmed longer ago than @p maxDelay.
    [[nodiscard]] bool outdated(TimePoint now, Duration maxDelay) const;

private:
    std::shared_ptr<const routing::RouteTable> m_table;
    std::string m_text;
    std::optional<TimePoint> m_confirmedAt;
    std::uint64_t m_knownVersion = 0; ///< Newest version that is in force at a peer.
};

}
