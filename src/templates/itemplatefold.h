#pragma once

#include "templates/templatetypes.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace rosemaryshift::templates {

/// Templates of all workspaces, computed by applying the log's template records in order: hosts that have read the same
/// records hold the same templates. A revision in force is only ever replaced by one that supersedes it. Not thread-safe.
class ITemplateFold
{
public:
    virtual ~ITemplateFold() = default;

    /// Notes that the log dropped records before this host read them. From then on a change based on a revision later than
    /// the last one known is accepted, as evidence that its base revision existed. Precondition: each change is published
    /// only by hosts that know the revision it is based on.
    virtual void noteGap() = 0;
    /// Applies the change at @p offset of the log. A change that was already applied gets its first result again.
    /// Precondition: offsets increase from call to call.
    virtual ChangeResult apply(std::uint64_t offset, const TemplateChange &change) = 0;
    /// Applies a revision that was accepted by another host, from a carry-forward record or a peer; true when it came into force.
    virtual bool adopt(const StatedRevision &revision) = 0;
    /// Notes that a carry-forward record in the log contains @p revision; later changes are checked against this revision.
    virtual void noteCarried(const StatedRevision &revision) = 0;
    /// The revision of @p workspace in force; null when there is none.
    [[nodiscard]] virtual const TemplateRevision *inForce(std::string_view workspace) const = 0;
    /// The result of an earlier change; nothing when it is not among the last MaxRememberedChanges.
    [[nodiscard]] virtual std::optional<ChangeResult> resultOf(std::string_view changeId) const = 0;
    /// The last known revisions of @p workspace, oldest first; at most MaxHistory.
    [[nodiscard]] virtual std::span<const StatedRevision> history(std::string_view workspace) const = 0;
    /// Names of all workspaces with a revision in force, in alphabetical order.
    [[nodiscard]] virtual std::vector<std::string> workspaces() const = 0;
};

/// Number of changes whose results are remembered. Results do not affect later changes, so forgetting one is safe.
constexpr std::size_t MaxRememberedChanges = 4'096;
/// Number of revisions kept for each workspace.
constexpr std::size_t MaxHistory = 16;

/// Makes a fold without any templates.
std::unique_ptr<ITemplateFold> makeTemplateFold();

}
