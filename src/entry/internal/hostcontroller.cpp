#include "entry/internal/hostcontroller.h"

#include "base/coretime.h"
#include "base/text.h"
#include "entry/internal/leavingupstreamssection.h"
#include "entry/internal/refusals.h"
#include "entry/internal/requestarrival.h"
#include "entry/internal/suspectssection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <random>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using requests::RequestRecord;
using timeline::EventKind;

namespace {

std::uint64_t seedOrRandom(std::uint64_t setting)
{
    return setting != 0 ? setting : std::random_device()();
}

bookings::BookingPolicy bookingPolicy(const EntrySettings &settings, const std::string &hostId)
{
    bookings::BookingPolicy policy = settings.bookings;
    policy.owner = hostId;
    return policy;
}

}

HostController::HostController(
    const EntrySettings &settings, ControlDependencies dependencies, net::io_context &control, net::io_context &traffic, std::string hostId)
    : m_settings(settings)
    , m_dependencies(std::move(dependencies))
    , m_context(control)
    , m_hostId(std::move(hostId))
    , m_telemetry(m_dependencies.timeline, m_dependencies.metrics)
    , m_skippedRecords(m_dependencies.timeline, m_dependencies.metrics)
    , m_attemptLauncher(traffic, *this)
    , m_decisionLoop(control, decisions::makeDecisionCore({}, seedOrRandom(settings.seed)), [this](const decisions::Action &action) { perform(action); })
    , m_templateTable(m_dependencies.templates,
                      m_dependencies.timeline,
                      settings.name,
                      [this](const templates::TemplateRevision &revision) {
                          applyRoutes(revision.content);
                          applyLimits();
                      })
    , m_upstreamDirectory(settings.zone, m_dependencies.timeline, [this](decisions::Event event) { m_decisionLoop.post(std::move(event)); })
    , m_loadPoller(control, m_upstreamDirectory, coreNow, [this](decisions::Event event) { m_decisionLoop.post(std::move(event)); })
    , m_bookingRunner(control,
                      {m_dependencies.registry, m_dependencies.timeline, m_dependencies.log, m_telemetry},
                      bookingPolicy(settings, m_hostId),
                      [this](const std::shared_ptr<RequestRecord> &record) { submitToCore(record); })
    , m_requestMover(m_dependencies.registry, m_dependencies.timeline, requestMoverCallbacks())
    , m_logFollower(m_dependencies.log, m_dependencies.timeline, logHandlers())
    , m_hostListFollower(
          m_dependencies.hosts, [this](const platform::HostList &list) { handleHostList(list); }, [this] { return updateReady(); })
    , m_templateReappender(m_templateTable, m_upstreamDirectory, m_logFollower, m_dependencies.log)
    , m_templatePublisher(m_templateTable, m_upstreamDirectory, m_logFollower, m_dependencies.log)
{
}

RequestMover::Callbacks HostController::requestMoverCallbacks()
{
    RequestMover::Callbacks callbacks;
    callbacks.submit = [this](const std::shared_ptr<RequestRecord> &record) { submitToCore(record); };
    callbacks.withdraw = [this](const std::shared_ptr<RequestRecord> &record) { m_decisionLoop.post(decisions::CallerDisconnected{record->number}); };
    callbacks.busy = [this] { return openRequests() > 0; };
    return callbacks;
}

void HostController::takeOver(replication::ReplicaRecord record)
{
    m_requestMover.takeOver(std::move(record));
}

void HostController::drain(std::chrono::milliseconds notice, std::function<void()> done)
{
    beginStop();
    const auto run = [this, notice, done = std::move(done)]() -> net::awaitable<void> {
        co_await m_requestMover.drain(notice);
        done();
    };
    net::co_spawn(m_context, run, net::detached);
}

void HostController::setReplicator(replication::IReplicator &replicator)
{
    m_requestMover.setReplicator(replicator);
}

void HostController::connectPeers(membership::IMembership &membership, const std::shared_ptr<rpc::IPeerClient> &client, rpc::IPeerServer &server)
{
    m_membership = &membership;
    m_hostListFollower.connectPeers(membership, client, server);
    m_templateExchange = std::make_shared<TemplateExchange>(m_context, m_templateTable, m_logFollower, client, [this] { m_templatePublisher.wakeWaiting(); });
    m_templateExchange->serve(server);
    membership.addSection(m_templateExchange);
    membership.addObserver([this](const membership::Peer &peer, membership::PeerChange change) {
        if (change == membership::PeerChange::Lost) {
            m_templateExchange->forget(peer.name);
        }
    });
    membership.addSection(std::make_shared<LeavingUpstreamsSection>(m_upstreamDirectory, coreNow));
    membership.addSection(std::make_shared<SuspectsSection>(m_decisionLoop, membership, coreNow));
}

void HostController::start()
{
    net::co_spawn(m_context, m_logFollower.run(), net::detached);
    net::co_spawn(m_context, m_hostListFollower.run(), net::detached);
    net::co_spawn(m_context, m_loadPoller.run(), net::detached);
    net::co_spawn(m_context, m_templateReappender.run(), net::detached);
}

void HostController::submit(std::shared_ptr<RequestRecord> record)
{
    m_decisionLoop.expectRequest();
    net::post(m_context, [this, record = std::move(record)] { acceptRequest(record); });
}

LogHandlers HostController::logHandlers()
{
    LogHandlers handlers;
    handlers.record = [this](const platform::LogRecord &record) { handleLogRecord(record); };
    handlers.page = [this](const platform::LogPage &page, bool caughtUp) { m_bookingRunner.handleLogRead({page.oldest, page.next, caughtUp}); };
    handlers.gap = [this](std::uint64_t oldest) {
        m_bookingRunner.handleLogGap(oldest);
        m_templateTable.noteGap();
    };
    return handlers;
}

void HostController::acceptRequest(const std::shared_ptr<RequestRecord> &record)
{
    if (record->spec.idempotent) {
        m_telemetry.arrived(*record);
        m_requestMover.accepted(record);
        submitToCore(record);
        return;
    }
    m_bookingRunner.accept(record);
    m_decisionLoop.scheduleTick();
}

void HostController::submitToCore(const std::shared_ptr<RequestRecord> &record)
{
    record->suspended = false;
    // The decision core counts the request from its next tick on; count it here until then, so that a stop waits for it.
    m_decisionLoop.expectRequest();
    m_decisionLoop.post(arrivalEvent(*record, m_workspaces.intern(record->spec.workspace), m_upstreamDirectory.target(record->spec.target)));
}

void HostController::callerLeft(std::shared_ptr<RequestRecord> record)
{
    net::post(m_context, [this, record = std::move(record)] {
        if (record->readers > 0 || record->transcript.state() != requests::TranscriptState::Open || !record->spec.idempotent) {
            return;
        }
        record->suspended = true;
        m_telemetry.callerGone(*record);
        m_dependencies.registry->markFinished(*record);
        m_decisionLoop.post(decisions::CallerDisconnected{record->number});
    });
}

void HostController::beginStop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    m_ready = false;
    net::post(m_context, [this] {
        m_dependencies.timeline->record(EventKind::HostStopping, {});
        m_membership->leave();
        m_decisionLoop.post(decisions::HostStopping{});
    });
}

std::size_t HostController::openRequests() const
{
    return m_decisionLoop.openRequests() + m_bookingRunner.pendingCount() + m_requestMover.movingCount();
}

bool HostController::ready() const
{
    return m_ready && !m_stopping;
}

void HostController::attemptProgressed(AttemptId attempt, std::uint32_t tokens)
{
    net::post(m_context, [this, attempt, tokens] {
        m_telemetry.attemptProgressed(attempt);
        m_decisionLoop.post(decisions::AttemptProgressed{attempt, tokens});
    });
}

void HostController::attemptEnded(AttemptId attempt, upstreams::AttemptResult result)
{
    net::post(m_context, [this, attempt, result = std::move(result)] {
        m_attemptLauncher.forget(attempt);
        m_telemetry.attemptEnded(attempt, result);
        const auto running = m_attemptUpstreams.find(attempt);
        if (running != m_attemptUpstreams.end()) {
            if (result.leavesIn) {
                m_upstreamDirectory.markLeaving(running->second, *result.leavesIn, coreNow());
            }
            m_attemptUpstreams.erase(running);
        }
        m_decisionLoop.post(decisions::AttemptEnded{attempt, result.outcome, result.connectionLost});
    });
}

void HostController::perform(const decisions::Action &action)
{
    std::visit([this](const auto &typed) { perform(typed); }, action);
}

void HostController::perform(const decisions::StartAttempt &action)
{
    const std::shared_ptr<RequestRecord> record = m_dependencies.registry->find(action.request);
    if (!record) {
        m_decisionLoop.post(decisions::AttemptEnded{action.attempt, decisions::AttemptOutcome::NotOffered});
        return;
    }
    const platform::ListedHost &host = m_upstreamDirectory.host(action.upstream);
    m_attemptUpstreams[action.attempt] = action.upstream;
    m_telemetry.routed(record, action.attempt, host.name, action.reason);
    if (!record->spec.idempotent) {
        m_dependencies.timeline->record(EventKind::BookingDispatched, {.request = record->id, .workspace = record->spec.workspace, .upstream = host.name});
    }
    upstreams::AttemptSpec spec;
    spec.attempt = action.attempt;
    spec.attemptName = m_hostId + "." + RequestTelemetry::attemptText(action.attempt);
    spec.endpoint = host.endpoint;
    spec.timeouts = m_settings.attemptTimeouts;
    m_attemptLauncher.launch(record, spec);
}

void HostController::perform(const decisions::CancelAttempt &action)
{
    m_telemetry.attemptCancelled(action.attempt);
    m_attemptLauncher.cancel(action.attempt);
}

void HostController::perform(const decisions::RefuseRequest &action)
{
    const std::shared_ptr<RequestRecord> record = m_dependencies.registry->find(action.request);
    if (!record) {
        return;
    }
    m_telemetry.refused(*record, name(action.code), action.run);
    record->transcript.refuse(refusalOf(action));
    m_dependencies.registry->markFinished(*record);
    m_requestMover.ended(*record);
    if (!record->spec.idempotent) {
        m_bookingRunner.handleRunEnded(*record, action.run);
    }
}

void HostController::perform(const decisions::QueueRequest &action)
{
    const std::shared_ptr<RequestRecord> record = m_dependencies.registry->find(action.request);
    if (record) {
        m_telemetry.queued(*record, action.ahead);
    }
}

void HostController::perform(const decisions::CompleteRequest &action)
{
    const std::shared_ptr<RequestRecord> record = m_dependencies.registry->find(action.request);
    if (!record) {
        return;
    }
    m_telemetry.completed(*record, action.attempt);
    m_dependencies.registry->markFinished(*record);
    m_requestMover.ended(*record);
    if (!record->spec.idempotent) {
        m_bookingRunner.handleRunEnded(*record, RunState::Ran);
    }
}

void HostController::handleLogRecord(const platform::LogRecord &record)
{
    if (m_bookingRunner.handleRecord(record)) {
        return;
    }
    if (m_templateTable.applyRecord(record, coreNow())) {
        m_templatePublisher.wakeWaiting();
        return;
    }
    m_skippedRecords.noteRecord(record.offset);
}

void HostController::applyRoutes(const templates::WorkspaceTemplate &content)
{
    decisions::WorkspaceTargetsChanged event{m_workspaces.intern(content.workspace), {}};
    for (const templates::ModelRoute &route : content.models) {
        event.targets.push_back(m_upstreamDirectory.target(route.name));
    }
    for (const templates::ServiceRoute &route : content.services) {
        event.targets.push_back(m_upstreamDirectory.target(route.name));
    }
    m_decisionLoop.post(std::move(event));
}

void HostController::applyLimits()
{
    const std::uint32_t hosts = static_cast<std::uint32_t>(m_upstreamDirectory.entryHostCount());
    m_bookingRunner.setEntryHostCount(hosts);
    m_decisionLoop.post(decisions::EntryHostCountChanged{hosts});
    const decisions::HostPosition position = m_upstreamDirectory.hostPosition(m_settings.name);
    for (const std::string &workspace : m_templateTable.fold().workspaces()) {
        const templates::WorkspaceLimits &limits = m_templateTable.fold().inForce(workspace)->content.limits;
        m_decisionLoop.post(decisions::WorkspaceLimitsChanged{
            m_workspaces.intern(workspace), shareOfLimit(limits.requestsInFlight, position), shareOfLimit(limits.requestsQueued, position)});
    }
}

void HostController::handleHostList(const platform::HostList &list)
{
    m_skippedRecords.noteList(list);
    m_upstreamDirectory.update(list, coreNow());
    applyLimits();
}

bool HostController::updateReady()
{
    if (m_ready || m_stopping || !m_hostListFollower.hasRead() || !m_templateExchange->complete()) {
        return m_ready;
    }
    m_ready = true;
    m_dependencies.timeline->record(EventKind::HostReady, {.detail = m_logFollower.caughtUp() ? "" : "templates from a peer, the log is out"});
    return true;
}

net::awaitable<PublishResult> HostController::publish(PublishRequest request)
{
    co_return co_await net::co_spawn(m_context, m_templatePublisher.publish(std::move(request)), net::use_awaitable);
}

net::awaitable<std::optional<PublishResult>> HostController::check(PublishRequest request)
{
    const auto collect = [&]() -> net::awaitable<std::optional<PublishResult>> { co_return m_templatePublisher.check(request); };
    co_return co_await net::co_spawn(m_context, collect, net::use_awaitable);
}

net::awaitable<std::vector<templates::StatedRevision>> HostController::history(std::string workspace)
{
    const auto collect = [&]() -> net::awaitable<std::vector<templates::StatedRevision>> {
        const std::span<const templates::StatedRevision> kept = m_templateTable.fold().history(workspace);
        co_return std::vector<templates::StatedRevision>(kept.begin(), kept.end());
    };
    co_return co_await net::co_spawn(m_context, collect, net::use_awaitable);
}

net::awaitable<std::optional<bookings::Outcome>> HostController::bookingOutcome(std::string key)
{
    const auto find = [this, key = std::move(key)]() -> net::awaitable<std::optional<bookings::Outcome>> { co_return m_bookingRunner.outcomeOf(key); };
    co_return co_await net::co_spawn(m_context, find, net::use_awaitable);
}

net::awaitable<HostStatus> HostController::status()
{
    const auto collect = [this]() -> net::awaitable<HostStatus> { co_return makeStatus(); };
    co_return co_await net::co_spawn(m_context, collect, net::use_awaitable);
}

HostStatus HostController::makeStatus() const
{
    HostStatus status;
    status.ready = ready();
    status.stopping = m_stopping;
    status.logReachable = m_logFollower.reachable();
    status.logPosition = m_logFollower.position();
    status.openRequests = m_decisionLoop.openRequests();
    status.name = m_settings.name;
    status.zone = m_settings.zone;
    status.replicaRecords = m_requestMover.replicaCount();
    status.upstreams = m_upstreamDirectory.upstreams();
    for (const std::string &workspace : m_templateTable.fold().workspaces()) {
        status.templates.push_back(m_templateTable.fold().inForce(workspace)->stated);
    }
    for (const membership::Peer &peer : m_membership->peers()) {
        status.peers.push_back(makePeerStatus(peer, *m_templateExchange, m_logFollower));
    }
    return status;
}

}
