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

/// Objects that the host controller shares with the rest of the host.
struct ControlDependencies {
    std::shared_ptr<requests::RequestRegistry> registry;
    std::shared_ptr<TemplateView> templates;
    std::shared_ptr<timeline::ITimeline> timeline;
    std::shared_ptr<metrics::IMetrics> metrics;
    std::shared_ptr<platform::ILog> log;
    std::shared_ptr<platform::IHostDirectory> hosts;
};

/// Owns the state of the control thread: the decision core, templates and bookings read from the log, and the list of
/// upstreams. Must be used on the control thread, except for the methods marked thread-safe.
class HostController : public IAttemptObserver
{
public:
    HostController(const EntrySettings &settings,
                   ControlDependencies dependencies,
                   boost::asio::io_context &control,
                   boost::asio::io_context &traffic,
                   std::string hostId);

    /// Sets the membership and registers the methods and heartbeat sections for peers. Precondition: called once, before start().
    void connectPeers(membership::IMembership &membership, const std::shared_ptr<rpc::IPeerClient> &client, rpc::IPeerServer &server);
    /// Sets the replicator. Precondition: called once, before start().
    void setReplicator(replication::IReplicator &replicator);
    /// Continues a request that another host accepted. Precondition: called on the control thread.
    void takeOver(replication::ReplicaRecord record);
    /// Refuses new requests, lets running ones finish within @p notice, hands the remaining ones over to a peer and then calls
    /// @p done. Precondition: called on the control thread.
    void drain(std::chrono::milliseconds notice, std::function<void()> done);
    /// Starts reading the platform's log and host list and polling upstreams. Precondition: called once, before the control
    /// thread runs.
    void start();

    /// Submits a request to the decision core: a new one, or a suspended one to which a caller has reattached. Thread-safe.
    void submit(std::shared_ptr<requests::RequestRecord> record);
    /// Handles the disconnect of a request's last caller: an idempotent request is suspended until a caller reattaches. Thread-safe.
    void callerLeft(std::shared_ptr<requests::RequestRecord> record);
    /// Refuses new requests from now on and announces the stop to peers. Thread-safe.
    void beginStop();
    /// Number of requests without a final answer. Thread-safe.
    [[nodiscard]] std::size_t openRequests() const;
    /// True once templates and the host list are known, until the host begins to stop. Thread-safe.
    [[nodiscard]] bool ready() const;
    /// Publishes a template change and waits for its result. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<PublishResult> publish(PublishRequest request);
    /// Validates a template change as publish() would, without publishing it; nothing when it is valid. Resumes on the executor
    /// of the caller. Thread-safe.
    boost::asio::awaitable<std::optional<PublishResult>> check(PublishRequest request);
    /// The latest template revisions of a workspace, oldest first. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<std::vector<templates::StatedRevision>> history(std::string workspace);
    /// Outcome of the booking with the key digest @p key, if this host knows it. Resumes on the executor of the caller.
    /// Thread-safe.
    boost::asio::awaitable<std::optional<bookings::Outcome>> bookingOutcome(std::string key);
    /// Snapshot of the host's state for operators. Resumes on the executor of the caller. Thread-safe.
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
    /// Sends this host's shares of all workspace limits to the decision core.
    void applyLimits();
    void applyRoutes(const templates::WorkspaceTemplate &content);
    [[nodiscard]] HostStatus makeStatus() const;
    void handleHostList(const platform::HostList &list);
    /// Marks the host ready once templates and the host list are known; returns whether it is ready.
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
