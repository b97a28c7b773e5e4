#pragma once

#include "base/types.h"
#include "routing/routetable.h"

#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::gateway {

/// The configuration in force on this host and how fresh it is. Versions only grow. Not thread-safe.
class ActiveConfiguration
{
public:
    /// Takes a configuration with its text as the operators wrote it; false when it is not newer than the one in force.
    bool accept(routing::Configuration configuration, std::string text);
    /// At @p at, nothing newer than @p version was in force.
    void confirm(std::uint64_t version, TimePoint at);

    /// The configuration in force; null before the first one came.
    [[nodiscard]] const std::shared_ptr<const routing::RouteTable> &table() const;
    /// Its version; 0 before the first one came.
    [[nodiscard]] std::uint64_t version() const;
    /// Its text, for other hosts.
    [[nodiscard]] const std::string &text() const;
    /// Time since it was last certain that nothing newer was in force; nothing when it never was.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

private:
    std::shared_ptr<const routing::RouteTable> m_table;
    std::string m_text;
    std::optional<TimePoint> m_confirmed;
};

}
