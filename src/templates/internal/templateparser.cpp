#include "base/text.h"
#include "settings/settingsdocument.h"
#include "templates/templatechecks.h"

#include <algorithm>
#include <set>

namespace rosemaryshift::templates {

namespace {

constexpr std::size_t DigestLength = 64;
constexpr std::size_t MaxNameLength = 64;
constexpr std::uint64_t MaxDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t MaxRequests = 1'000'000;
constexpr std::uint64_t MaxPriority = 9;

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::ranges::all_of(text, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '/' || c == ':';
    });
}

bool isDigest(std::string_view text)
{
    return text.size() == DigestLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string readName(SettingsTable &table, std::string_view key)
{
    std::string value = table.text(key);
    if (!value.empty() && !isValidName(value)) {
        table.reject(key, "may hold letters, digits, '-', '_', '.', '/' and ':' only, 64 at most");
    }
    return value;
}

void readKeys(SettingsTable &root, WorkspaceTemplate &parsed)
{
    parsed.keyDigests = root.texts("key_sha256");
    parsed.keysLine = root.lineOf("key_sha256");
    if (parsed.keyDigests.empty()) {
        root.reject("key_sha256", "must name at least one key, else the workspace is locked out");
    }
    if (!std::ranges::all_of(parsed.keyDigests, isDigest)) {
        root.reject("key_sha256", "must hold SHA-256 digests as 64 lower-case hexadecimal digits");
    }
}

void readLimits(SettingsTable &root, WorkspaceTemplate &parsed)
{
    std::optional<SettingsTable> table = root.table("limits");
    if (!table) {
        root.reject("limits", "must be given");
        return;
    }
    parsed.limitsLine = table->lineOf("requests_in_flight");
    parsed.limits.requestsInFlight = static_cast<std::uint32_t>(table->number("requests_in_flight", {1, MaxRequests}));
    parsed.limits.requestsQueued = static_cast<std::uint32_t>(table->number("requests_queued", {0, MaxRequests}));
    table->rejectUnknownKeys();
}

ClassPolicy defaultPolicy(TrafficClass trafficClass)
{
    using std::chrono::milliseconds;
    switch (trafficClass) {
    case TrafficClass::Question:
        return {milliseconds(30'000), milliseconds(2'000), 0};
    case TrafficClass::Plan:
        return {milliseconds(1'800'000), milliseconds(30'000), 2};
    case TrafficClass::Lookup:
        return {milliseconds(10'000), milliseconds(2'000), 0};
    case TrafficClass::Booking:
        return {milliseconds(20'000), milliseconds(2'000), 0};
    }
    return {};
}

void readClass(SettingsTable &table, ClassPolicy &policy)
{
    policy.deadline = std::chrono::milliseconds(table.number("deadline_ms", {1, MaxDeadlineMs}));
    policy.firstToken = std::chrono::milliseconds(table.number("first_token_ms", {1, MaxDeadlineMs}, std::min(policy.firstToken, policy.deadline).count()));
    policy.priority = static_cast<std::uint32_t>(table.number("priority", {0, MaxPriority}, policy.priority));
    if (policy.firstToken > policy.deadline) {
        table.reject("first_token_ms", "is later than deadline_ms");
    }
    table.rejectUnknownKeys();
}

void readClasses(SettingsTable &root, WorkspaceTemplate &parsed)
{
    for (std::size_t i = 0; i < TrafficClassCount; ++i) {
        parsed.classes[i] = defaultPolicy(static_cast<TrafficClass>(i));
    }
    std::optional<SettingsTable> classes = root.table("classes");
    if (!classes) {
        return;
    }
    for (const std::string &className : classes->tableNames()) {
        const std::optional<TrafficClass> trafficClass = trafficClassFromName(className);
        std::optional<SettingsTable> table = classes->table(className);
        if (!trafficClass) {
            classes->reject(className, "is not a traffic class; there are question, plan, lookup and booking");
            continue;
        }
        readClass(*table, parsed.classes[static_cast<std::size_t>(*trafficClass)]);
    }
    classes->rejectUnknownKeys();
}

void readModels(SettingsTable &root, WorkspaceTemplate &parsed)
{
    std::set<std::string> seen;
    for (SettingsTable &table : root.tables("models")) {
        ModelRoute route;
        route.name = readName(table, "name");
        const std::string className = table.text("default_class", "question");
        const std::optional<TrafficClass> trafficClass = trafficClassFromName(className);
        if (!trafficClass || (*trafficClass != TrafficClass::Question && *trafficClass != TrafficClass::Plan)) {
            table.reject("default_class", "must be question or plan");
        }
        route.defaultClass = trafficClass.value_or(TrafficClass::Question);
        route.line = table.line();
        if (!seen.insert(route.name).second) {
            table.reject("name", "stands twice");
        }
        table.rejectUnknownKeys();
        parsed.models.push_back(std::move(route));
    }
}

void rejectOverlappingPosts(SettingsTable &table, const ServiceRoute &route)
{
    for (const std::string &prefix : route.idempotentPosts) {
        for (const std::string &other : route.idempotentPosts) {
            if (&prefix != &other && other.starts_with(prefix)) {
                table.reject("idempotent_posts", "overlap: " + other + " lies within " + prefix);
                return;
            }
        }
    }
}

void readServices(SettingsTable &root, WorkspaceTemplate &parsed)
{
    std::set<std::string> seen;
    for (SettingsTable &table : root.tables("services")) {
        ServiceRoute route;
        route.name = readName(table, "name");
        if (route.name.find('/') != std::string::npos) {
            table.reject("name", "of a service may not hold '/'");
        }
        route.line = table.line();
        route.idempotentPosts = table.texts("idempotent_posts");
        if (!std::ranges::all_of(route.idempotentPosts, [](const std::string &prefix) { return prefix.starts_with('/'); })) {
            table.reject("idempotent_posts", "must hold paths that begin with '/'");
        }
        if (!seen.insert(route.name).second) {
            table.reject("name", "stands twice");
        }
        if (parsed.model(route.name) != nullptr) {
            table.reject("name", "is the name of a model too: the routes overlap");
        }
        rejectOverlappingPosts(table, route);
        table.rejectUnknownKeys();
        parsed.services.push_back(std::move(route));
    }
}

bool hasTarget(const WorkspaceTemplate &parsed, TrafficClass trafficClass)
{
    const bool servedByModels = trafficClass == TrafficClass::Question || trafficClass == TrafficClass::Plan;
    return servedByModels ? !parsed.models.empty() : !parsed.services.empty();
}

void rejectClassesWithoutTarget(SettingsTable &root, const WorkspaceTemplate &parsed)
{
    std::optional<SettingsTable> classes = root.table("classes");
    if (!classes) {
        return;
    }
    for (const std::string &className : classes->tableNames()) {
        const std::optional<TrafficClass> trafficClass = trafficClassFromName(className);
        if (trafficClass && !hasTarget(parsed, *trafficClass)) {
            classes->reject(className, "has no target: the template names no " + std::string(parsed.models.empty() ? "model" : "service"));
        }
    }
}

template <typename Route>
const Route *findRoute(const std::vector<Route> &routes, std::string_view name)
{
    const auto found = std::ranges::find(routes, name, &Route::name);
    return found == routes.end() ? nullptr : &*found;
}

}

const ClassPolicy &WorkspaceTemplate::policy(TrafficClass trafficClass) const
{
    return classes[static_cast<std::size_t>(trafficClass)];
}

const ModelRoute *WorkspaceTemplate::model(std::string_view name) const
{
    return findRoute(models, name);
}

const ServiceRoute *WorkspaceTemplate::service(std::string_view name) const
{
    return findRoute(services, name);
}

std::optional<WorkspaceTemplate> parseTemplate(std::string_view text, std::string_view file, std::vector<SettingsError> &errors)
{
    SettingsDocument document(text, file);
    WorkspaceTemplate parsed;
    if (document.errors().empty()) {
        SettingsTable root = document.root();
        parsed.workspace = readName(root, "workspace");
        readKeys(root, parsed);
        readLimits(root, parsed);
        readClasses(root, parsed);
        readModels(root, parsed);
        readServices(root, parsed);
        rejectClassesWithoutTarget(root, parsed);
        if (parsed.models.empty() && parsed.services.empty()) {
            root.reject("models", "and services are both empty: the workspace could reach nothing");
        }
        root.rejectUnknownKeys();
    }
    errors.assign(document.errors().begin(), document.errors().end());
    if (!errors.empty()) {
        return std::nullopt;
    }
    return parsed;
}

}
