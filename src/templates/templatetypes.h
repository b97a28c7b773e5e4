#pragma once

#include "base/types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryshift::templates {

/// Deadline, first-token target and priority of a workspace's requests of one traffic class.
struct ClassPolicy {
    std::chrono::milliseconds deadline{60'000};  ///< Time from arrival to the complete answer.
    std::chrono::milliseconds firstToken{2'000}; ///< Target time from arrival to the first token.
    std::uint32_t priority = 1;                  ///< Passed to the engine; a lower value is scheduled first.
};

/// A model that a workspace may call.
struct ModelRoute {
    std::string name;
    TrafficClass defaultClass = TrafficClass::Question;
    std::uint32_t line = 0; ///< Line of the route in the template's text.
};

/// A service that a workspace may call.
struct ServiceRoute {
    std::string name;
    std::vector<std::string> idempotentPosts; ///< Path prefixes whose POST and PATCH calls are idempotent.
    std::uint32_t line = 0;                   ///< Line of the route in the template's text.
};

/// Limits of a workspace, summed over all entry hosts.
struct WorkspaceLimits {
    std::uint32_t requestsInFlight = 0;
    std::uint32_t requestsQueued = 0;
};

/// Configuration of one workspace as published by an operator: keys, limits, traffic classes and routes.
struct WorkspaceTemplate {
    std::string workspace;
    std::vector<std::string> keyDigests; ///< Lower-case hexadecimal SHA-256 of each caller key.
    std::uint32_t keysLine = 0;          ///< Line of the keys in the template's text.
    std::uint32_t limitsLine = 0;        ///< Line of the limit of requests in flight in the template's text.
    WorkspaceLimits limits;
    std::array<ClassPolicy, TrafficClassCount> classes;
    std::vector<ModelRoute> models;
    std::vector<ServiceRoute> services;

    /// The policy for requests of @p trafficClass.
    [[nodiscard]] const ClassPolicy &policy(TrafficClass trafficClass) const;
    /// The route of model @p name; null when the template has none.
    [[nodiscard]] const ModelRoute *model(std::string_view name) const;
    /// The route of service @p name; null when the template has none.
    [[nodiscard]] const ServiceRoute *service(std::string_view name) const;
};

/// A change to a template, as recorded in the platform's log.
struct TemplateChange {
    std::string workspace;
    std::uint64_t base = 0; ///< Revision that the change is based on; 0 for a new workspace.
    std::string changeId;
    std::string author;
    std::string text; ///< The template as TOML.
};

/// An accepted revision as unparsed text; the form used in carry-forward records of the log and between peers.
struct StatedRevision {
    std::string workspace;
    std::uint64_t revision = 0;
    std::uint64_t offset = 0; ///< Log offset of the change that created it.
    std::string changeId;
    std::string author;
    std::string text;

    /// True when this revision replaces @p other: it has the higher number, or the same number and the lower log offset,
    /// since the first change in the log on a base revision is the accepted one.
    [[nodiscard]] bool supersedes(const StatedRevision &other) const;
};

/// A revision together with its parsed template.
struct TemplateRevision {
    StatedRevision stated;
    WorkspaceTemplate content;
};

/// Decision about a change in the log.
enum class ChangeVerdict : std::uint8_t {
    Accepted,
    Conflict, ///< Another change of the same base came first, or the base is not the current revision.
    Invalid,  ///< The text is not a valid template of the workspace.
};

/// Decision about a change, and the revision that resulted.
struct ChangeResult {
    ChangeVerdict verdict = ChangeVerdict::Invalid;
    std::uint64_t revision = 0; ///< Revision in force after this change.
    std::string reason;         ///< On a conflict names the change in force, on an invalid text the first error; else empty.
};

}
