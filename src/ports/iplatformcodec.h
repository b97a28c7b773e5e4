#pragma once

#include "configurations/sectionedtext.h"
#include "directory/directorytypes.h"
#include "ports/iplatformlog.h"
#include "rollouts/rollouttypes.h"
#include "routing/routingtypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::ports {

/// Parses the records that operators and upstreams write to the platform log. Thread-safe.
class IPlatformCodec
{
public:
    virtual ~IPlatformCodec() = default;

    /// Whether a record of the configuration topic holds the configuration, as its key tells.
    [[nodiscard]] virtual bool isConfiguration(const Record &record) const = 0;
    /// Parses a configuration. Returns nothing, and sets @p reason, when a field is missing or malformed.
    [[nodiscard]] virtual std::optional<routing::Configuration> configuration(std::string_view text, std::string &reason) const = 0;
    /// Splits the text of a configuration into consecutive sections: each route in one of its own, and what stands before and behind them. Without the sections
    /// of routes it is the same configuration without routes. One section when the text can't be split so.
    [[nodiscard]] virtual std::vector<configurations::TextSection> sections(std::string_view text) const = 0;
    /// Parses the section of a route. Returns nothing, and sets @p reason, when a field is missing or malformed.
    [[nodiscard]] virtual std::optional<routing::Route> route(std::string_view section, std::string &reason) const = 0;
    /// Parses the directory entry of an upstream. Returns nothing, and sets @p reason, when a field is missing or malformed. Precondition: the
    /// record has a value.
    [[nodiscard]] virtual std::optional<directory::UpstreamEntry> upstreamEntry(const Record &record, std::string &reason) const = 0;
    /// Whether a record of the configuration topic holds an order to roll out a version, or removes one, as its key tells.
    [[nodiscard]] virtual bool isRolloutOrder(const Record &record) const = 0;
    /// Parses an order to roll out a version. Returns nothing, and sets @p reason, when a field is missing or malformed. Precondition: the record has a value.
    [[nodiscard]] virtual std::optional<rollouts::Order> rolloutOrder(const Record &record, std::string &reason) const = 0;
    /// The record that tells operators of the state of a roll-out.
    [[nodiscard]] virtual Record rolloutStateRecord(const rollouts::StateRecord &state) const = 0;
    /// Parses a record of rolloutStateRecord(). Returns nothing, and sets @p reason, when it is another record, or malformed.
    [[nodiscard]] virtual std::optional<rollouts::StateRecord> rolloutState(const Record &record, std::string &reason) const = 0;
};

}
