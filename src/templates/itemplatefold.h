#pragma once

#include "templates/templatetypes.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace rosemaryshift::templates {

/// Fold over the log's template records: hosts that read the same records hold the same templates, and a revision in
/// force is only ever replaced by one that supersedes it. Not thread-safe.
class ITemplateFold
{
public:
    virtual ~ITemplateFold() = default;

    /// Notes that records before the next one were dropped unread. From then on a change made on a revision that this
    /// fold never saw is taken as proof of that revision. Precondition: each change is published only by hosts that
    /// know the revision it is based on.
    virtual void noteGap() = 0;
    /// Takes the change at @p offset of the log. A record that stands twice gets its first result again.
    /// Precondition: offsets come in rising order.
    virtual ChangeResult apply(std::uint64_t offset, const TemplateChange &change) = 0;
    /// Takes a revision that was accepted elsewhere, from a carry-forward record or a peer; true when it came into force.
    virtual bool adopt(const StatedRevision &revision) = 0;
    /// Notes that the log carries @p revision forward, so that changes after this record are decided against it.
    virtual void noteCarried(const StatedRevision &revision) = 0;
    /// The revision of @p workspace in force; null when there is none.
    [[nodiscard]] virtual const TemplateRevision *inForce(std::string_view workspace) const = 0;
    /// The result of a change decided before, as long as it is among the last MaxRememberedChanges.
    [[nodiscard]] virtual std::optional<ChangeResult> resultOf(std::string_view changeId) const = 0;
    /// The last revisions of @p workspace that this fold saw, oldest first; at most MaxHistory.
    [[nodiscard]] virtual std::span<const StatedRevision> history(std::string_view workspace) const = 0;
    /// Names of all workspaces, in the order of the alphabet.
    [[nodiscard]] virtual std::vector<std::string> workspaces() const = 0;
};

/// Changes whose results are remembered. Results never decide about later changes, so forgetting one is safe.
constexpr std::size_t MaxRememberedChanges = 4'096;
/// Revisions kept for each workspace.
constexpr std::size_t MaxHistory = 16;

std::unique_ptr<ITemplateFold> makeTemplateFold();

}
