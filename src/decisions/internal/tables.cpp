#include "decisions/tables.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

template <typename Row, typename Id>
Row &rowAt(std::vector<Row> &rows, Id id)
{
    const std::size_t index = static_cast<std::size_t>(id);
    if (index >= rows.size()) {
        rows.resize(index + 1);
    }
    return rows[index];
}

}

std::string_view name(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return "completed";
    case AttemptOutcome::NotOffered:
        return "not_offered";
    case AttemptOutcome::Declined:
        return "declined";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Silent:
        return "silent";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    }
    return "broken";
}

std::string_view name(RefusalCode code)
{
    switch (code) {
    case RefusalCode::OverLimit:
        return "over_limit";
    case RefusalCode::Overloaded:
        return "overloaded";
    case RefusalCode::NoUpstream:
        return "no_upstream";
    case RefusalCode::DeadlinePassed:
        return "deadline_passed";
    case RefusalCode::AttemptsFailed:
        return "attempts_failed";
    case RefusalCode::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalCode::HostStopping:
        return "host_stopping";
    }
    return "no_upstream";
}

UpstreamRow &Tables::upstream(UpstreamId upstream)
{
    return rowAt(upstreams, upstream);
}

WorkspaceRow &Tables::workspace(WorkspaceId workspace)
{
    return rowAt(workspaces, workspace);
}

RequestRow *Tables::request(RequestId request)
{
    const std::map<RequestId, RequestRow>::iterator found = requests.find(request);
    return found == requests.end() ? nullptr : &found->second;
}

void Tables::erase(RequestId request)
{
    const RequestRow *const row = this->request(request);
    if (row == nullptr) {
        return;
    }
    WorkspaceRow &owner = workspace(row->spec.workspace);
    if (row->admitted) {
        --owner.inFlight;
    }
    std::erase(owner.queue, request);
    requests.erase(request);
}

}
