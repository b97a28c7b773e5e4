#include "entry/internal/suspectssection.h"

#include "quarantine/suspectjson.h"

namespace rosemaryshift::entry {

SuspectsSection::SuspectsSection(DecisionLoop &decisionLoop, membership::IMembership &membership, Clock clock)
    : m_decisionLoop(decisionLoop)
    , m_membership(membership)
    , m_clock(std::move(clock))
{
    membership.addObserver([this](const membership::Peer &, membership::PeerChange) { nameEntryHosts(); });
    nameEntryHosts();
}

void SuspectsSection::nameEntryHosts()
{
    decisions::EntryHostsNamed event{m_membership.self().name, {}};
    for (const membership::Peer &peer : m_membership.peers()) {
        event.others.push_back(peer.name);
    }
    m_decisionLoop.post(std::move(event));
}

std::string SuspectsSection::name() const
{
    return "suspect_requests";
}

Json::Value SuspectsSection::write(const membership::Peer &)
{
    Json::Value list(Json::arrayValue);
    for (const quarantine::SuspectReport &report : m_decisionLoop.suspectReports(m_clock())) {
        list.append(quarantine::toJson(report));
    }
    return list;
}

void SuspectsSection::read(const membership::Peer &, const Json::Value &value)
{
    if (!value.isArray()) {
        return;
    }
    decisions::SuspectsReported event;
    for (const Json::Value &item : value) {
        std::optional<quarantine::SuspectReport> report = quarantine::suspectReport(quarantine::SuspectKind::Request, item);
        if (report) {
            event.reports.push_back(std::move(*report));
        }
    }
    if (!event.reports.empty()) {
        m_decisionLoop.post(std::move(event));
    }
}

}
