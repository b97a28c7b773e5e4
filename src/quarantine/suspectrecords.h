#pragma once

#include "quarantine/quarantinetypes.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::quarantine {

/// What has to outlive the hosts of a suspect in quarantine.
struct VerdictRecord {
    SuspectReport report;
    std::uint64_t failedTrials = 0;          ///< Crashes since the suspect was quarantined.
    std::optional<std::uint64_t> trialAgeMs; ///< Time since its last trial.

    bool operator==(const VerdictRecord &) const = default;
};

/// What a host knows of the crashes of a service, and of the answers of its upstreams since the first of them.
struct ServiceEvidence {
    std::vector<CrashReport> crashes;
    std::uint64_t broken = 0;
    std::uint64_t complete = 0;

    bool operator==(const ServiceEvidence &) const = default;
};

/// What has to outlive a host of the suspects that are not in quarantine.
struct EvidenceRecord {
    std::vector<SuspectReport> suspects;
    std::map<std::string, ServiceEvidence> services; ///< By name.

    bool operator==(const EvidenceRecord &) const = default;
};

/// Encodes a record for hosts that start later. Thread-safe.
Json::Value toJson(const VerdictRecord &record);
Json::Value toJson(const EvidenceRecord &record);
/// Decodes a record; nothing when @p value is malformed. Thread-safe.
std::optional<VerdictRecord> verdictRecord(const Json::Value &value);
std::optional<EvidenceRecord> evidenceRecord(const Json::Value &value);

}
