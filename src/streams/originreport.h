#pragma once

#include "streams/streamtypes.h"

#include <json/value.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace rosemaryshift::streams {

/// Origins of several streams, as one host tells them to the others.
struct OriginReport {
    std::map<std::string, std::map<std::string, std::vector<StreamKey>>> streams; ///< By service and software version.

    /// Adds a stream.
    void add(StreamKey key, const Origin &origin);
    /// Adds the streams of @p other that the report does not have.
    void merge(const OriginReport &other);
    /// Number of streams.
    [[nodiscard]] std::size_t size() const;
    bool operator==(const OriginReport &) const = default;
};

/// Encodes a report for the other hosts. Thread-safe.
Json::Value toJson(const OriginReport &report);
/// Decodes a report; nothing when @p value is malformed. Thread-safe.
std::optional<OriginReport> originReport(const Json::Value &value);

}
