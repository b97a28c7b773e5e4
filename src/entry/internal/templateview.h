#pragma once

#include "templates/templatetypes.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace rosemaryshift::entry {

using TemplatePtr = std::shared_ptr<const templates::WorkspaceTemplate>;

/// Thread-safe copy of the templates in force for the traffic threads; the control thread keeps it up to date.
class TemplateView
{
public:
    /// Puts a template in force for its workspace.
    void replace(TemplatePtr content);
    /// The template of the workspace to which the API key @p key belongs; null when the key is unknown.
    [[nodiscard]] TemplatePtr findByApiKey(std::string_view key) const;
    /// The template of a workspace; null when there is none.
    [[nodiscard]] TemplatePtr findByWorkspace(std::string_view workspace) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, TemplatePtr, std::less<>> m_byWorkspace;
    std::map<std::string, TemplatePtr, std::less<>> m_byDigest; ///< By the SHA-256 digest of an API key.
};

}
