#include "templates/itemplatefold.h"

#include "base/json.h"

namespace rosemaryshift::templates {

namespace {

constexpr const char *RecordKind = "template";

class TemplateFold : public ITemplateFold
{
public:
    ChangeResult apply(std::uint64_t offset, const TemplateChange &change) override
    {
        const std::map<std::string, ChangeResult, std::less<>>::const_iterator known = m_verdicts.find(change.changeId);
        if (known != m_verdicts.end()) {
            return {ChangeVerdict::Duplicate, known->second.revision, "this change was decided before"};
        }
        const ChangeResult result = decide(offset, change);
        m_verdicts[change.changeId] = result;
        return result;
    }

    [[nodiscard]] const TemplateRevision *inForce(std::string_view workspace) const override
    {
        const std::map<std::string, TemplateRevision, std::less<>>::const_iterator found = m_inForce.find(workspace);
        return found == m_inForce.end() ? nullptr : &found->second;
    }

    [[nodiscard]] std::optional<ChangeResult> verdictOf(std::string_view changeId) const override
    {
        const std::map<std::string, ChangeResult, std::less<>>::const_iterator found = m_verdicts.find(changeId);
        return found == m_verdicts.end() ? std::nullopt : std::optional<ChangeResult>(found->second);
    }

    [[nodiscard]] std::vector<std::string> workspaces() const override
    {
        std::vector<std::string> names;
        for (const auto &[name, revision] : m_inForce) {
            names.push_back(name);
        }
        return names;
    }

private:
    ChangeResult decide(std::uint64_t offset, const TemplateChange &change)
    {
        const TemplateRevision *const current = inForce(change.workspace);
        const std::uint64_t revision = current == nullptr ? 0 : current->revision;
        if (change.base != revision) {
            const std::string by = current == nullptr ? "nobody" : current->author + " (change " + current->changeId + ")";
            return {ChangeVerdict::Conflict,
                    revision,
                    "made on revision " + std::to_string(change.base) + ", but revision " + std::to_string(revision) + " by " + by + " is in force"};
        }
        std::vector<SettingsError> errors;
        std::optional<WorkspaceTemplate> content = parseTemplate(change.text, change.workspace, errors);
        if (!content || content->workspace != change.workspace) {
            return {ChangeVerdict::Invalid, revision, errors.empty() ? "the template names another workspace" : errors.front().text()};
        }
        m_inForce[change.workspace] = {revision + 1, offset, change.changeId, change.author, change.text, std::move(*content)};
        return {ChangeVerdict::Accepted, revision + 1, {}};
    }

    std::map<std::string, TemplateRevision, std::less<>> m_inForce;
    std::map<std::string, ChangeResult, std::less<>> m_verdicts;
};

}

std::string toRecord(const TemplateChange &change)
{
    Json::Value object;
    object["kind"] = RecordKind;
    object["workspace"] = change.workspace;
    object["base"] = Json::UInt64(change.base);
    object["change"] = change.changeId;
    object["author"] = change.author;
    object["text"] = change.text;
    return toText(object);
}

std::optional<TemplateChange> changeFromRecord(std::string_view record)
{
    std::string reason;
    const std::optional<Json::Value> object = parseJson(record, reason);
    if (!object || stringMember(*object, "kind") != RecordKind) {
        return std::nullopt;
    }
    const std::optional<std::string> workspace = stringMember(*object, "workspace");
    const std::optional<std::uint64_t> base = unsignedMember(*object, "base");
    const std::optional<std::string> change = stringMember(*object, "change");
    const std::optional<std::string> text = stringMember(*object, "text");
    if (!workspace || !base || !change || !text) {
        return std::nullopt;
    }
    return TemplateChange{*workspace, *base, *change, stringMember(*object, "author").value_or("unknown"), *text};
}

std::unique_ptr<ITemplateFold> makeTemplateFold()
{
    return std::make_unique<TemplateFold>();
}

}
