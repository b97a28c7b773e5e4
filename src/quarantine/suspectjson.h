#pragma once

#include "quarantine/quarantinetypes.h"

#include <json/value.h>

#include <optional>

namespace rosemaryshift::quarantine {

/// Encodes a report for the other hosts. Thread-safe.
Json::Value toJson(const SuspectReport &report);
/// Decodes a report of a suspect of this @p kind; nothing when @p value is malformed. Thread-safe.
std::optional<SuspectReport> suspectReport(SuspectKind kind, const Json::Value &value);

}
