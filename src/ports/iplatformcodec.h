#pragma once

#include "directory/directorytypes.h"
#include "ports/iplatformlog.h"
#include "routing/routingtypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::ports {

/// Reads the records that operators and upstreams write. Thread-safe.
class IPlatformCodec
{
public:
    virtual ~IPlatformCodec() = default;

    /// Whether a record of the operators' topic holds the configuration.
    [[nodiscard]] virtual bool isConfiguration(const Record &record) const = 0;
    /// The configuration in @p text; nothing, with @p reason set, when a field is missing or malformed.
    [[nodiscard]] virtual std::optional<routing::Configuration> configuration(std::string_view text, std::string &reason) const = 0;
    /// The upstream that @p record lists; nothing, with @p reason set, when a field is missing or malformed. Precondition: the record has a value.
    [[nodiscard]] virtual std::optional<directory::UpstreamEntry> upstreamEntry(const Record &record, std::string &reason) const = 0;
};

}
