#pragma once

#include "templates/templatetypes.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace rosemaryshift::entry {

using TemplatePtr = std::shared_ptr<const templates::WorkspaceTemplate>;

/// The templates in force as the traffic threads see them; the control thread replaces them. Thread-safe.
class TemplateView
{
public:
    /// Puts a template in force for its workspace.
    void replace(TemplatePtr content);
    /// The template of the workspace to which a caller's key belongs; null when no workspace knows the key.
    [[nodiscard]] TemplatePtr findByApiKey(std::string_view key) const;
    /// The template of a workspace; null when there is none.
    [[nodiscard]] TemplatePtr findByWorkspace(std::string_view workspace) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, TemplatePtr, std::less<>> m_byWorkspace;
    std::map<std::string, TemplatePtr, std::less<>> m_byDigest;
};

}
