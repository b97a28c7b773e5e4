#pragma once

#include "base/types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryshift::templates {

/// What a workspace's requests of one traffic class are promised.
struct ClassPolicy {
    std::chrono::milliseconds deadline{60'000};  ///< From arrival to the whole answer.
    std::chrono::milliseconds firstToken{2'000}; ///< Target for the first token.
    std::uint32_t priority = 1;                  ///< Passed to the engine; lower goes first.
};

struct ModelRoute {
    std::string name;
    TrafficClass defaultClass = TrafficClass::Question;
    std::uint32_t line = 0; ///< Where the template's text names it.
};

struct ServiceRoute {
    std::string name;
    std::vector<std::string> idempotentPosts; ///< Path prefixes whose POST and PATCH calls may be repeated.
    std::uint32_t line = 0;                   ///< Where the template's text names it.
};

/// Limits of a workspace over the whole fleet.
struct WorkspaceLimits {
    std::uint32_t requestsInFlight = 0;
    std::uint32_t requestsQueued = 0;
};

/// What an operator states about one workspace.
struct WorkspaceTemplate {
    std::string workspace;
    std::vector<std::string> keyDigests; ///< Lower-case hexadecimal SHA-256 of each caller key.
    std::uint32_t keysLine = 0;          ///< Where the template's text names the keys.
    std::uint32_t limitsLine = 0;        ///< Where the template's text names the limit in flight.
    WorkspaceLimits limits;
    std::array<ClassPolicy, TrafficClassCount> classes;
    std::vector<ModelRoute> models;
    std::vector<ServiceRoute> services;

    [[nodiscard]] const ClassPolicy &policy(TrafficClass trafficClass) const;
    /// The route of @p name; null when the template does not name the model.
    [[nodiscard]] const ModelRoute *model(std::string_view name) const;
    /// The route of @p name; null when the template does not name the service.
    [[nodiscard]] const ServiceRoute *service(std::string_view name) const;
};

/// One change as it stands in the platform's log.
struct TemplateChange {
    std::string workspace;
    std::uint64_t base = 0; ///< Revision the change was made on; 0 for a new workspace.
    std::string changeId;
    std::string author;
    std::string text; ///< The template as TOML.
};

/// A revision as hosts tell it each other, in carry-forward records of the log and between peers.
struct StatedRevision {
    std::string workspace;
    std::uint64_t revision = 0;
    std::uint64_t offset = 0; ///< Where the log accepted it.
    std::string changeId;
    std::string author;
    std::string text;

    /// True when this revision replaces @p other: the higher one, or of equal ones the one that the log took first, as
    /// the log accepts the first change made on a base.
    [[nodiscard]] bool supersedes(const StatedRevision &other) const;
};

/// A revision with its template read.
struct TemplateRevision {
    StatedRevision stated;
    WorkspaceTemplate content;
};

enum class ChangeVerdict : std::uint8_t {
    Accepted,
    Conflict, ///< Another change of the same base came first.
    Invalid,  ///< The text does not pass the checks.
};

struct ChangeResult {
    ChangeVerdict verdict = ChangeVerdict::Invalid;
    std::uint64_t revision = 0; ///< In force after this record.
    std::string reason;         ///< Names the other change on a conflict, the faults on an invalid text.
};

}
