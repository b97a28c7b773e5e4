#include "settings/endpointsetting.h"

namespace rosemaryshift {

http::Endpoint endpointSetting(SettingsTable &table, std::string_view key, std::optional<std::string> fallback)
{
    const std::size_t errorsBefore = table.errorCount();
    const std::string text = table.text(key, std::move(fallback));
    const std::optional<http::Endpoint> endpoint = http::Endpoint::parse(text);
    if (!endpoint && table.errorCount() == errorsBefore) {
        table.reject(key, "must be an IP address and a port, as in 127.0.0.1:8080");
    }
    return endpoint.value_or(http::Endpoint{});
}

}
