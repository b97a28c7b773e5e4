#pragma once

#include "entry/internal/templateview.h"
#include "platform/platformtypes.h"
#include "templates/carryforward.h"
#include "templates/itemplatefold.h"
#include "timeline/itimeline.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryshift::entry {

/// Templates known to this host. Applies revisions from the log and from peers and puts them in force. Must be used on the
/// control thread.
class TemplateTable
{
public:
    /// Called after a revision came into force.
    using ChangeHandler = std::function<void(const templates::TemplateRevision &revision)>;

    TemplateTable(std::shared_ptr<TemplateView> view, std::shared_ptr<timeline::ITimeline> timeline, const std::string &host, ChangeHandler changeHandler);

    /// Applies a record of the log; returns false when it is not a template record.
    bool applyRecord(const platform::LogRecord &record, TimePoint now);
    /// Handles the loss of log records that were dropped before this host read them.
    void noteGap();
    /// Applies a revision from a peer; returns true when it came into force.
    bool adopt(const templates::StatedRevision &revision);
    /// Log records to append again for templates that the log, which retains @p window, would drop soon. @p hosts is the number
    /// of entry hosts.
    std::vector<std::string> carryForward(const templates::LogWindow &window, std::size_t hosts, TimePoint now);
    [[nodiscard]] const templates::ITemplateFold &fold() const;

private:
    void applyRecord(std::uint64_t offset, const templates::TemplateChange &change, TimePoint now);
    void applyRecord(std::uint64_t offset, const templates::StatedRevision &revision, TimePoint now);
    void putInForce(const templates::TemplateRevision &revision, std::string_view source);

    const std::shared_ptr<TemplateView> m_view;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const ChangeHandler m_changeHandler;
    const std::unique_ptr<templates::ITemplateFold> m_fold;
    templates::CarryForward m_carryForward;
};

}
