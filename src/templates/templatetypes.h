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
};

struct ServiceRoute {
    std::string name;
    std::vector<std::string> idempotentPosts; ///< Path prefixes whose POST and PATCH calls may be repeated.
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

/// A template that was accepted at an offset of the log.
struct TemplateRevision {
    std::uint64_t revision = 0;
    std::uint64_t offset = 0;
    std::string changeId;
    std::string author;
    std::string text;
    WorkspaceTemplate content;
};

enum class ChangeVerdict : std::uint8_t {
    Accepted,
    Duplicate, ///< The same change id was decided before.
    Conflict,  ///< Another change of the same base came first.
    Invalid,   ///< The text does not pass the checks.
};

struct ChangeResult {
    ChangeVerdict verdict = ChangeVerdict::Invalid;
    std::uint64_t revision = 0; ///< In force after this record.
    std::string reason;         ///< Names the other change on a conflict, the faults on an invalid text.
};

}
