#include "entry/internal/templatetable.h"

#include "templates/templaterecords.h"

#include <spdlog/spdlog.h>

namespace rosemaryshift::entry {

using templates::ChangeResult;
using templates::ChangeVerdict;
using templates::StatedRevision;
using templates::TemplateChange;
using templates::TemplateRevision;
using timeline::EventKind;

TemplateTable::TemplateTable(std::shared_ptr<TemplateView> view,
                             std::shared_ptr<timeline::ITimeline> timeline,
                             const std::string &host,
                             ChangeHandler changeHandler)
    : m_view(std::move(view))
    , m_timeline(std::move(timeline))
    , m_changeHandler(std::move(changeHandler))
    , m_fold(templates::makeTemplateFold())
    , m_carryForward({}, host)
{
}

bool TemplateTable::applyRecord(const platform::LogRecord &record, TimePoint now)
{
    const std::optional<templates::TemplateRecord> typed = templates::parseTemplateRecord(record.data);
    if (!typed) {
        return false;
    }
    std::visit([&](const auto &read) { applyRecord(record.offset, read, now); }, *typed);
    return true;
}

void TemplateTable::applyRecord(std::uint64_t offset, const TemplateChange &change, TimePoint now)
{
    const ChangeResult result = m_fold->apply(offset, change);
    const TemplateRevision *const current = m_fold->inForce(change.workspace);
    if (current != nullptr && current->stated.offset == offset) {
        m_carryForward.noteStated(change.workspace, offset, now);
        putInForce(*current, "log");
        return;
    }
    if (result.verdict != ChangeVerdict::Accepted) {
        m_timeline->record(EventKind::TemplateRejected, {.workspace = change.workspace, .detail = "change " + change.changeId + " " + result.reason});
    }
}

void TemplateTable::applyRecord(std::uint64_t offset, const StatedRevision &revision, TimePoint now)
{
    m_fold->noteCarried(revision);
    const bool adopted = m_fold->adopt(revision);
    const TemplateRevision *const current = m_fold->inForce(revision.workspace);
    if (current != nullptr && current->stated.revision == revision.revision && current->stated.changeId == revision.changeId) {
        m_carryForward.noteStated(revision.workspace, offset, now);
    }
    if (adopted) {
        putInForce(*current, "carry-forward record");
    }
}

void TemplateTable::noteGap()
{
    m_fold->noteGap();
}

bool TemplateTable::adopt(const StatedRevision &revision)
{
    if (!m_fold->adopt(revision)) {
        return false;
    }
    putInForce(*m_fold->inForce(revision.workspace), "peer");
    return true;
}

void TemplateTable::putInForce(const TemplateRevision &revision, std::string_view source)
{
    const StatedRevision &stated = revision.stated;
    m_view->replace(std::make_shared<templates::WorkspaceTemplate>(revision.content));
    m_timeline->record(
        EventKind::TemplateInForce,
        {.workspace = stated.workspace, .detail = "revision " + std::to_string(stated.revision) + " by " + stated.author + ", from " + std::string(source)});
    spdlog::info("event=template_in_force workspace={} revision={} change={}", stated.workspace, stated.revision, stated.changeId);
    m_changeHandler(revision);
}

std::vector<std::string> TemplateTable::carryForward(const templates::LogWindow &window, std::size_t hosts, TimePoint now)
{
    std::vector<std::string> records;
    for (const std::string &workspace : m_carryForward.due(*m_fold, window, hosts, now)) {
        const StatedRevision &stated = m_fold->inForce(workspace)->stated;
        records.push_back(templates::toRecord(stated));
        m_timeline->record(EventKind::TemplateCarried, {.workspace = workspace, .detail = "revision " + std::to_string(stated.revision)});
    }
    return records;
}

const templates::ITemplateFold &TemplateTable::fold() const
{
    return *m_fold;
}

}
