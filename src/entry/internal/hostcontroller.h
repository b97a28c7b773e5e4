#pragma once

#include "entry/entrysettings.h"
#include "entry/internal/attemptlauncher.h"
#include "entry/internal/bookingrunner.h"
#include "entry/internal/decisionloop.h"
#include "entry/internal/hostlistfollower.h"
#include "entry/internal/hoststatus.h"
#include "entry/internal/loadpoller.h"
#include "entry/internal/logfollower.h"
#include "entry/internal/requestmover.h"
#include "entry/internal/requesttelemetry.h"
#include "entry/internal/skippedrecords.h"
#include "entry/internal/templateexchange.h"
#include "entry/internal/templatepublisher.h"
#include "entry/internal/templatereappender.h"
#include "entry/internal/templatetable.h"
#include "entry/internal/upstreamdirectory.h"
#include "membership/imembership.h"
#include "platform/iplatform.h"
#include "requests/requestregistry.h"
#include "timeline/itimeline.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>

namespace rosemaryshift::entry {

/// What the control thread shares with the rest of the host.
struct ControlDependencies {
    std::shared_ptr<requests::RequestRegistry> registry;
    std::shared_ptr<TemplateView> templates;
    std::shared_ptr<timeline::ITimeline> timeline;
    std::shared_ptr<metrics::IMetrics> metrics;
    std::shared_ptr<platform::ILog> log;
    std::shared_ptr<platform::IHostDirectory> hosts;
};

/// Owns all control state: the decision core, the folds over the log and the upstreams. Everything but the methods
/// marked thread-safe runs on the one control thread.
class HostController : public IAttemptObserver
{
public:
    HostController(const EntrySettings &settings,
                   ControlDependencies dependencies,
                   boost::asio::io_context &control,
                   boost::asio::io_context &traffic,
                   std::string hostId);

    /// Makes the membership known and adds what this host serves to peers. Precondition: called once, before start().
    void connectPeers(membership::IMembership &membership, const std::shared_ptr<rpc::IPeerClient> &client, rpc::IPeerServer &server);
    /// Makes the replicator known. Precondition: called once, before start().
    void setReplicator(replication::IReplicator &replicator);
    /// Goes on with a request that another host has accepted. Precondition: called on the control thread.
    void takeOver(replication::ReplicaRecord record);
    /// Takes no new work, lets requests finish while @p notice allows, hands the others over and calls @p done.
    /// Precondition: called on the control thread.
    void drain(std::chrono::milliseconds notice, std::function<void()> done);
    /// Starts following the platform. Precondition: called once, before the control thread runs.
    void start();

    /// Hands a request to the decisions, anew or after all its callers had left. Thread-safe.
    void submit(std::shared_ptr<requests::RequestRecord> record);
    /// Notes that the last caller of a request went away. Thread-safe.
    void callerLeft(std::shared_ptr<requests::RequestRecord> record);
    /// Refuses new requests from now on. Thread-safe.
    void beginStop();
    /// Requests that have no final answer yet. Thread-safe.
    [[nodiscard]] std::size_t openRequests() const;
    /// True once the log and the host list were read and while the host is not stopping. Thread-safe.
    [[nodiscard]] bool ready() const;
    /// Publishes a change and waits until its verdict is known. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<PublishResult> publish(PublishRequest request);
    /// Checks a change as publish() would; nothing when it would be published. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<std::optional<PublishResult>> check(PublishRequest request);
    /// The last revisions of a workspace, oldest first. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<std::vector<templates::StatedRevision>> history(std::string workspace);
    /// How the booking under the digest @p key ended, if this host knows. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<std::optional<bookings::Outcome>> bookingOutcome(std::string key);
    /// State for operators. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<HostStatus> status();

    void attemptProgressed(AttemptId attempt, std::uint32_t tokens) override;
    void attemptEnded(AttemptId attempt, upstreams::AttemptResult result) override;

private:
    void perform(const decisions::Action &action);
    void perform(const decisions::StartAttempt &action);
    void perform(const decisions::CancelAttempt &action);
    void perform(const decisions::RefuseRequest &action);
    void perform(const decisions::QueueRequest &action);
    void perform(const decisions::CompleteRequest &action);
    void handleLogRecord(const platform::LogRecord &record);
    void applyLimits();
    void applyRoutes(const templates::WorkspaceTemplate &content);
    [[nodiscard]] HostStatus makeStatus() const;
    void handleHostList(const platform::HostList &list);
    /// True when the host is ready.
    bool updateReady();
    void acceptRequest(const std::shared_ptr<requests::RequestRecord> &record);
    void submitToCore(const std::shared_ptr<requests::RequestRecord> &record);
    [[nodiscard]] LogHandlers logHandlers();
    [[nodiscard]] RequestMover::Callbacks requestMoverCallbacks();

    const EntrySettings m_settings;
    const ControlDependencies m_dependencies;
    boost::asio::io_context &m_context;
    const std::string m_hostId;
    RequestTelemetry m_telemetry;
    SkippedRecords m_skippedRecords;
    AttemptLauncher m_attemptLauncher;
    DecisionLoop m_decisionLoop;
    TemplateTable m_templateTable;
    UpstreamDirectory m_upstreamDirectory;
    LoadPoller m_loadPoller;
    BookingRunner m_bookingRunner;
    RequestMover m_requestMover;
    LogFollower m_logFollower;
    HostListFollower m_hostListFollower;
    TemplateReappender m_templateReappender;
    TemplatePublisher m_templatePublisher;
    membership::IMembership *m_membership = nullptr;
    std::shared_ptr<TemplateExchange> m_templateExchange;
    NameTable<WorkspaceId> m_workspaces;
    std::map<AttemptId, UpstreamId> m_attemptUpstreams;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_stopping = false;
};

}
