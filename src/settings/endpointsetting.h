#pragma once

#include "http/httptypes.h"
#include "settings/settingsdocument.h"

namespace rosemaryshift {

/// Reads "address:port" under @p key; a fault is noted in the table's document.
http::Endpoint endpointSetting(SettingsTable &table, std::string_view key, std::optional<std::string> fallback = std::nullopt);

}
