#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"
#include "decisions/iupstreamchooser.h"

#include <memory>

namespace rosemaryshift::decisions {

/// Gives up a request; its final answer follows at once. Precondition: the request is open.
void refuse(Tables &tables, TickContext &context, RequestId request, RefusalCode code, Duration retryAfter);

/// Gives up requests whose deadline has passed and queued ones that can no longer start in time.
class DeadlineSystem : public ISystem
{
public:
    explicit DeadlineSystem(const PolicySettings &settings);
    void run(Tables &tables, TickContext &context) override;

private:
    void giveUp(Tables &tables, TickContext &context, RequestId request) const;

    PolicySettings m_settings;
};

/// Refuses what cannot be served and queues the rest by workspace.
class AdmissionSystem : public ISystem
{
public:
    explicit AdmissionSystem(const PolicySettings &settings);
    void run(Tables &tables, TickContext &context) override;

private:
    [[nodiscard]] std::optional<RefusalCode> refusalOf(Tables &tables, const RequestRow &row) const;
    void admit(Tables &tables, TickContext &context, RequestRow &row) const;

    PolicySettings m_settings;
};

/// Cancels whatever attempts of @p request run.
void cancelAttempts(const RequestRow &request, std::vector<Action> &actions);

/// Makes an attempt of @p request at the chosen upstream.
AttemptId makeAttempt(Tables &tables, TickContext &context, RequestRow &request, const UpstreamChoice &choice);

/// Starts an attempt of @p request where @p chooser says; false when no upstream can take it now.
bool startAttempt(Tables &tables, TickContext &context, IUpstreamChooser &chooser, RequestId request);

/// Starts attempts for retrying and queued requests, one workspace after the other.
class RoutingSystem : public ISystem
{
public:
    RoutingSystem(std::unique_ptr<IUpstreamChooser> chooser, QueuePolicy policy);
    void run(Tables &tables, TickContext &context) override;

private:
    void startQueued(Tables &tables, TickContext &context);
    bool startNextOf(Tables &tables, TickContext &context, WorkspaceId id, std::set<QueueKey> &blocked);

    std::unique_ptr<IUpstreamChooser> m_chooser;
    QueuePolicy m_policy;
    std::size_t m_turn = 0; ///< Which workspace is asked first.
};

}
