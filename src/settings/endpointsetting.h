#pragma once

#include "http/httptypes.h"
#include "settings/settingsdocument.h"

namespace rosemaryshift {

/// Reads "address:port" under @p key; an error is recorded in the table's document.
http::Endpoint endpointSetting(SettingsTable &table, std::string_view key, std::optional<std::string> fallback = std::nullopt);

}
