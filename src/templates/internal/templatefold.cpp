#include "templates/itemplatefold.h"

#include "templates/templatechecks.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

namespace rosemaryshift::templates {

namespace {

/// State of one workspace.
struct WorkspaceRow {
    std::optional<TemplateRevision> inForce;
    /// Newest revision of the workspace in the records read so far; lower than the one in force when that came from a peer that has read more of the log.
    std::uint64_t logRevision = 0;
    std::vector<StatedRevision> history;
};

class TemplateFold : public ITemplateFold
{
public:
    void noteGap() override
    {
        m_gap = true;
    }

    ChangeResult apply(std::uint64_t offset, const TemplateChange &change) override
    {
        const ChangeResult result = decide(offset, change);
        const std::optional<ChangeResult> known = resultOf(change.changeId);
        if (known && result.verdict != ChangeVerdict::Accepted) {
            return *known;
        }
        rememberResult(change.changeId, result);
        return result;
    }

    bool adopt(const StatedRevision &revision) override
    {
        std::vector<SettingsError> errors;
        std::optional<WorkspaceTemplate> content = parseTemplate(revision.text, revision.workspace, errors);
        if (!content || content->workspace != revision.workspace) {
            return false;
        }
        rememberResult(revision.changeId, {ChangeVerdict::Accepted, revision.revision, {}});
        return putInForce(revision, std::move(*content));
    }

    void noteCarried(const StatedRevision &revision) override
    {
        WorkspaceRow &row = m_rows[revision.workspace];
        row.logRevision = std::max(row.logRevision, revision.revision);
    }

    [[nodiscard]] const TemplateRevision *inForce(std::string_view workspace) const override
    {
        const auto found = m_rows.find(workspace);
        return found == m_rows.end() || !found->second.inForce ? nullptr : &*found->second.inForce;
    }

    [[nodiscard]] std::optional<ChangeResult> resultOf(std::string_view changeId) const override
    {
        const auto found = m_results.find(changeId);
        return found == m_results.end() ? std::nullopt : std::optional<ChangeResult>(found->second);
    }

    [[nodiscard]] std::span<const StatedRevision> history(std::string_view workspace) const override
    {
        const auto found = m_rows.find(workspace);
        return found == m_rows.end() ? std::span<const StatedRevision>() : found->second.history;
    }

    [[nodiscard]] std::vector<std::string> workspaces() const override
    {
        std::vector<std::string> names;
        for (const auto &[name, row] : m_rows) {
            if (row.inForce) {
                names.push_back(name);
            }
        }
        return names;
    }

private:
    ChangeResult decide(std::uint64_t offset, const TemplateChange &change)
    {
        const auto found = m_rows.find(change.workspace);
        const std::uint64_t revision = found == m_rows.end() ? 0 : found->second.logRevision;
        const bool baseWasDropped = m_gap && change.base > revision;
        if (change.base != revision && !baseWasDropped) {
            return conflict(change, revision);
        }
        std::vector<SettingsError> errors;
        std::optional<WorkspaceTemplate> content = parseTemplate(change.text, change.workspace, errors);
        if (!content || content->workspace != change.workspace) {
            return {ChangeVerdict::Invalid, revision, errors.empty() ? "the template names another workspace" : errors.front().text()};
        }
        m_rows[change.workspace].logRevision = change.base + 1;
        putInForce({change.workspace, change.base + 1, offset, change.changeId, change.author, change.text}, std::move(*content));
        const StatedRevision &current = inForce(change.workspace)->stated;
        const bool superseded = current.revision == change.base + 1 && current.changeId != change.changeId;
        return superseded ? conflict(change, current.revision) : ChangeResult{ChangeVerdict::Accepted, change.base + 1, {}};
    }

    [[nodiscard]] ChangeResult conflict(const TemplateChange &change, std::uint64_t revision) const
    {
        const TemplateRevision *const current = inForce(change.workspace);
        const std::string by = current == nullptr ? "nobody" : current->stated.author + " (change " + current->stated.changeId + ")";
        const std::uint64_t shown = current == nullptr ? revision : current->stated.revision;
        return {ChangeVerdict::Conflict,
                shown,
                "made on revision " + std::to_string(change.base) + ", but revision " + std::to_string(shown) + " by " + by + " is in force"};
    }

    /// Adds a revision to the history and puts it in force if it supersedes the current one; true when it did.
    bool putInForce(const StatedRevision &revision, WorkspaceTemplate content)
    {
        WorkspaceRow &row = m_rows[revision.workspace];
        addToHistory(row.history, revision);
        if (row.inForce && !revision.supersedes(row.inForce->stated)) {
            return false;
        }
        row.inForce = {revision, std::move(content)};
        return true;
    }

    static void addToHistory(std::vector<StatedRevision> &history, const StatedRevision &revision)
    {
        const auto position = std::ranges::lower_bound(history, revision.revision, {}, &StatedRevision::revision);
        if (position == history.end() || position->revision != revision.revision) {
            history.insert(position, revision);
        } else if (revision.supersedes(*position)) {
            *position = revision;
        }
        if (history.size() > MaxHistory) {
            history.erase(history.begin());
        }
    }

    void rememberResult(const std::string &changeId, const ChangeResult &result)
    {
        if (!m_results.insert_or_assign(changeId, result).second) {
            return;
        }
        m_resultOrder.push_back(changeId);
        if (m_resultOrder.size() > MaxRememberedChanges) {
            m_results.erase(m_resultOrder.front());
            m_resultOrder.pop_front();
        }
    }

    bool m_gap = false; ///< The log dropped records before this host read them.
    std::map<std::string, WorkspaceRow, std::less<>> m_rows;
    std::map<std::string, ChangeResult, std::less<>> m_results;
    std::deque<std::string> m_resultOrder; ///< Keys of m_results, oldest first.
};

}

std::unique_ptr<ITemplateFold> makeTemplateFold()
{
    return std::make_unique<TemplateFold>();
}

}
