#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"

namespace rosemaryshift::decisions {

/// Applies events to the tables and runs the systems in a fixed order.
class DecisionCore : public IDecisionCore
{
public:
    DecisionCore(const PolicySettings &settings, std::vector<std::unique_ptr<ISystem>> systems);

    void post(Event event) override;
    std::span<const Action> tick(TimePoint now) override;
    [[nodiscard]] std::optional<TimePoint> nextWake() const override;
    [[nodiscard]] std::vector<quarantine::SuspectReport> suspectReports(TimePoint now) const override;
    [[nodiscard]] std::size_t openRequests() const override;

private:
    void apply(const UpstreamListed &event);
    void apply(const UpstreamLeaving &event);
    void apply(const UpstreamGone &event);
    void apply(const UpstreamReported &event);
    void apply(const WorkspaceLimitsChanged &event);
    void apply(const WorkspaceTargetsChanged &event);
    void apply(const EntryHostCountChanged &event);
    void apply(const RequestArrived &event);
    void apply(const AttemptProgressed &event);
    void apply(const AttemptEnded &event);
    void apply(const CallerDisconnected &event);
    void apply(const EntryHostsNamed &event);
    void apply(const SuspectsReported &event);
    void apply(const HostStopping &event);

    const PolicySettings m_settings;
    std::vector<std::unique_ptr<ISystem>> m_systems;
    std::vector<Event> m_inbox;
    std::vector<Action> m_actions;
    Tables m_tables;
    TimePoint m_now;
};

}
