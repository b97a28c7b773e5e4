#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"
#include "decisions/iupstreamchooser.h"

#include <memory>

namespace rosemaryshift::decisions {

/// Refuses a request as its final answer, cancels its attempts and removes it from the tables. Precondition: the request is open.
void refuse(Tables &tables, TickContext &context, RequestId request, RefusalCode code, Duration retryAfter);

/// Handles the timers of requests: refuses requests whose deadline has passed and queued ones that can no longer start in time, and marks others as due
/// for a hedge or a retry.
class DeadlineSystem : public ISystem
{
public:
    explicit DeadlineSystem(const PolicySettings &settings);
    void run(Tables &tables, TickContext &context) override;

private:
    void handleTimer(Tables &tables, TickContext &context, RequestId request) const;

    PolicySettings m_settings;
};

/// Refuses arrived requests that cannot be served and adds the others to their workspace's queue.
class AdmissionSystem : public ISystem
{
public:
    explicit AdmissionSystem(const PolicySettings &settings);
    void run(Tables &tables, TickContext &context) override;

private:
    /// Returns why the request cannot be admitted; nothing when it can.
    [[nodiscard]] std::optional<RefusalCode> admissionRefusal(Tables &tables, const RequestRow &row) const;
    /// Queues the request, or refuses it when it is not expected to start in time.
    void admit(Tables &tables, TickContext &context, RequestRow &row) const;

    PolicySettings m_settings;
};

/// Cancels all running attempts of @p request.
void cancelAttempts(const RequestRow &request, std::vector<Action> &actions);

/// Creates an attempt of @p request at the chosen upstream, with the action that starts it, and sets the timer for a late first token.
AttemptId makeAttempt(Tables &tables, TickContext &context, RequestRow &request, const UpstreamChoice &choice);

/// Starts an attempt of @p request at the upstream that @p chooser returns; false when no upstream can take it now.
bool startAttempt(Tables &tables, TickContext &context, IUpstreamChooser &chooser, RequestId request);

/// Starts attempts of requests that are retried or queued, with round-robin over the workspaces.
class RoutingSystem : public ISystem
{
public:
    RoutingSystem(std::unique_ptr<IUpstreamChooser> chooser, QueuePolicy policy);
    void run(Tables &tables, TickContext &context) override;

private:
    void startQueued(Tables &tables, TickContext &context);
    /// Starts the first queued request of a workspace that an upstream can take; false when there is none. Adds queues that cannot progress to
    /// @p blocked.
    bool startNextRequest(Tables &tables, TickContext &context, WorkspaceId id, std::set<QueueKey> &blocked);

    std::unique_ptr<IUpstreamChooser> m_chooser;
    QueuePolicy m_policy;
    std::size_t m_firstWorkspace = 0; ///< Position at which the next round over the waiting workspaces begins.
};

}
