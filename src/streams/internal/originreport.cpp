#include "streams/originreport.h"

#include "base/text.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace rosemaryshift::streams {

StreamKey streamKey(std::string_view workspace, std::string_view attemptId)
{
    constexpr std::size_t KeyDigits = 16;
    const std::string digest = sha256Hex(std::string(workspace) + '\n' + std::string(attemptId));
    return parseHexadecimal(std::string_view(digest).substr(0, KeyDigits)).value_or(0);
}

void OriginReport::add(StreamKey key, const Origin &origin)
{
    streams[origin.service][origin.softwareVersion].push_back(key);
}

void OriginReport::merge(const OriginReport &other)
{
    for (const auto &[service, versions] : other.streams) {
        for (const auto &[version, keys] : versions) {
            std::vector<StreamKey> &own = streams[service][version];
            const std::set<StreamKey> known(own.begin(), own.end());
            std::ranges::copy_if(keys, std::back_inserter(own), [&known](StreamKey key) { return !known.contains(key); });
        }
    }
}

std::size_t OriginReport::size() const
{
    std::size_t count = 0;
    for (const auto &[service, versions] : streams) {
        for (const auto &[version, keys] : versions) {
            count += keys.size();
        }
    }
    return count;
}

Json::Value toJson(const OriginReport &report)
{
    Json::Value value(Json::objectValue);
    for (const auto &[service, versions] : report.streams) {
        for (const auto &[version, keys] : versions) {
            Json::Value &list = value[service][version] = Json::Value(Json::arrayValue);
            for (const StreamKey key : keys) {
                list.append(hexadecimal(key));
            }
        }
    }
    return value;
}

std::optional<OriginReport> originReport(const Json::Value &value)
{
    OriginReport report;
    if (!value.isObject()) {
        return std::nullopt;
    }
    for (auto service = value.begin(); service != value.end(); ++service) {
        if (!service->isObject()) {
            return std::nullopt;
        }
        for (auto version = service->begin(); version != service->end(); ++version) {
            if (!version->isArray()) {
                return std::nullopt;
            }
            for (const Json::Value &entry : *version) {
                const std::optional<StreamKey> key = entry.isString() ? parseHexadecimal(entry.asString()) : std::nullopt;
                if (!key) {
                    return std::nullopt;
                }
                report.add(*key, {service.name(), version.name()});
            }
        }
    }
    return report;
}

}
