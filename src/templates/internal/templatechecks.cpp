#include "templates/templatechecks.h"

#include <algorithm>

namespace rosemaryshift::templates {

namespace {

/// Runs the checks of checkAgainstFleet() on one template and collects the errors.
class FleetCheck
{
public:
    FleetCheck(const WorkspaceTemplate &content, std::string_view file, const ITemplateFold &fold)
        : m_content(content)
        , m_file(file)
        , m_fold(fold)
    {
        const TemplateRevision *const current = fold.inForce(content.workspace);
        m_current = current == nullptr ? nullptr : &current->content;
    }

    std::vector<SettingsError> run(const FleetView &fleet)
    {
        checkInFlightLimit(fleet.entryHosts);
        checkRoutes(fleet.liveTargets);
        checkKeptKey();
        checkKeysOfOtherWorkspaces();
        return std::move(m_errors);
    }

private:
    void checkInFlightLimit(std::size_t entryHosts)
    {
        if (m_content.limits.requestsInFlight < entryHosts) {
            reject(m_content.limitsLine,
                   "limits.requests_in_flight is " + std::to_string(m_content.limits.requestsInFlight) + ", but must be at least " + std::to_string(entryHosts)
                       + ", one for each entry host");
        }
    }

    void checkRoutes(const std::set<std::string> &liveTargets)
    {
        for (const ModelRoute &route : m_content.models) {
            const bool routedBefore = m_current != nullptr && m_current->model(route.name) != nullptr;
            if (!routedBefore && !liveTargets.contains(route.name)) {
                reject(route.line, "model " + route.name + " is served by no live upstream");
            }
        }
        for (const ServiceRoute &route : m_content.services) {
            const bool routedBefore = m_current != nullptr && m_current->service(route.name) != nullptr;
            if (!routedBefore && !liveTargets.contains(route.name)) {
                reject(route.line, "service " + route.name + " is served by no live upstream");
            }
        }
    }

    void checkKeptKey()
    {
        if (m_current == nullptr) {
            return;
        }
        const bool kept = std::ranges::any_of(m_content.keyDigests, [this](const std::string &digest) { return hasKey(*m_current, digest); });
        if (!kept) {
            reject(m_content.keysLine,
                   "key_sha256 keeps none of the keys in force, which locks out every caller; add the new keys first and drop the old ones in a later change");
        }
    }

    void checkKeysOfOtherWorkspaces()
    {
        for (const std::string &workspace : m_fold.workspaces()) {
            const WorkspaceTemplate &other = m_fold.inForce(workspace)->content;
            if (workspace == m_content.workspace) {
                continue;
            }
            const auto shared = std::ranges::find_if(m_content.keyDigests, [&](const std::string &digest) { return hasKey(other, digest); });
            if (shared != m_content.keyDigests.end()) {
                reject(m_content.keysLine, "key_sha256 holds a key of workspace " + workspace + ", which would lock that workspace out");
            }
        }
    }

    static bool hasKey(const WorkspaceTemplate &content, const std::string &digest)
    {
        return std::ranges::find(content.keyDigests, digest) != content.keyDigests.end();
    }

    void reject(std::uint32_t line, std::string reason)
    {
        m_errors.push_back({m_file, line, std::move(reason)});
    }

    const WorkspaceTemplate &m_content;
    const std::string m_file;
    const ITemplateFold &m_fold;
    const WorkspaceTemplate *m_current = nullptr;
    std::vector<SettingsError> m_errors;
};

}

std::vector<SettingsError> checkAgainstFleet(const WorkspaceTemplate &content, std::string_view file, const ITemplateFold &fold, const FleetView &fleet)
{
    return FleetCheck(content, file, fold).run(fleet);
}

}
