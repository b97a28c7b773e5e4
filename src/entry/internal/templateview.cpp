#include "entry/internal/templateview.h"

#include "base/text.h"

namespace rosemaryshift::entry {

namespace {

TemplatePtr lookUp(const std::map<std::string, TemplatePtr, std::less<>> &map, std::string_view key)
{
    const std::map<std::string, TemplatePtr, std::less<>>::const_iterator found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

}

void TemplateView::replace(TemplatePtr content)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_byDigest, [&](const auto &entry) { return entry.second->workspace == content->workspace; });
    for (const std::string &digest : content->keyDigests) {
        m_byDigest[digest] = content;
    }
    m_byWorkspace[content->workspace] = std::move(content);
}

TemplatePtr TemplateView::findByApiKey(std::string_view key) const
{
    const std::string digest = sha256Hex(key);
    const std::lock_guard lock(m_mutex);
    return lookUp(m_byDigest, digest);
}

TemplatePtr TemplateView::findByWorkspace(std::string_view workspace) const
{
    const std::lock_guard lock(m_mutex);
    return lookUp(m_byWorkspace, workspace);
}

}
