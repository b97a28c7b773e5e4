#pragma once

#include "base/types.h"
#include "routing/routetable.h"

#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::gateway {

/// The configuration in force on this host, and how long ago it was last confirmed as the newest one. Its version only grows. Not thread-safe.
class ActiveConfiguration
{
public:
    /// Puts @p configuration in force; @p text is what the operators wrote. Returns false, and changes nothing, when it is not newer than the one in
    /// force.
    bool accept(routing::Configuration configuration, std::string text);
    /// Records that no configuration newer than @p version existed at the time @p at.
    void confirm(std::uint64_t version, TimePoint at);

    /// The routes and the configuration in force; null before the first one.
    [[nodiscard]] const std::shared_ptr<const routing::RouteTable> &table() const;
    /// Version of the configuration in force; 0 before the first one.
    [[nodiscard]] std::uint64_t version() const;
    /// Text of the configuration in force, for peers that fetch it; empty before the first one.
    [[nodiscard]] const std::string &text() const;
    /// Time since the configuration in force was last confirmed as the newest one; nothing when it never was.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

private:
    std::shared_ptr<const routing::RouteTable> m_table;
    std::string m_text;
    std::optional<TimePoint> m_confirmedAt;
};

}
