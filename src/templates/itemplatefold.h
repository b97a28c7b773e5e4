#pragma once

#include "settings/settingstypes.h"
#include "templates/templatetypes.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace rosemaryshift::templates {

/// Reads and checks a template; nothing, with @p errors filled, when it has any fault. Thread-safe.
std::optional<WorkspaceTemplate> parseTemplate(std::string_view text, std::string_view file, std::vector<SettingsError> &errors);

/// Text of the log record that carries @p change. Thread-safe.
std::string toRecord(const TemplateChange &change);
/// Reads a log record; nothing when it does not carry a template change or is malformed. Thread-safe.
std::optional<TemplateChange> changeFromRecord(std::string_view record);

/// Deterministic fold over the log's template records: every host that reads the same records holds the same
/// templates. Not thread-safe.
class ITemplateFold
{
public:
    virtual ~ITemplateFold() = default;

    /// Takes the record at @p offset. Precondition: offsets come in rising order.
    virtual ChangeResult apply(std::uint64_t offset, const TemplateChange &change) = 0;
    /// The revision of @p workspace in force; null when there is none.
    [[nodiscard]] virtual const TemplateRevision *inForce(std::string_view workspace) const = 0;
    /// The verdict on a change id seen before.
    [[nodiscard]] virtual std::optional<ChangeResult> verdictOf(std::string_view changeId) const = 0;
    /// Names of all workspaces, in the order of the alphabet.
    [[nodiscard]] virtual std::vector<std::string> workspaces() const = 0;
};

std::unique_ptr<ITemplateFold> makeTemplateFold();

}
