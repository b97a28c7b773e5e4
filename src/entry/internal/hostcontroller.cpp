#include "entry/internal/hostcontroller.h"

#include "base/coretime.h"
#include "base/text.h"
#include "entry/internal/leavingupstreamssection.h"
#include "entry/internal/refusals.h"
#include "entry/internal/requestarrival.h"

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

std::uint64_t chosenSeed(std::uint64_t setting)
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
    , m_skipped(m_dependencies.timeline, m_dependencies.metrics)
    , m_launcher(traffic, *this)
    , m_loop(control, decisions::makeDecisionCore({}, chosenSeed(settings.seed)), [this](const decisions::Action &action) { perform(action); })
    , m_templates(m_dependencies.templates,
                  m_dependencies.timeline,
                  settings.name,
                  [this](const templates::TemplateRevision &revision) {
                      applyRoutes(revision.content);
                      applyLimits();
                  })
    , m_upstreams(settings.zone, m_dependencies.timeline, [this](decisions::Event event) { m_loop.post(std::move(event)); })
    , m_loads(control, m_upstreams, coreNow, [this](decisions::Event event) { m_loop.post(std::move(event)); })
    , m_bookings(control,
                 {m_dependencies.registry, m_dependencies.timeline, m_dependencies.log, m_telemetry},
                 bookingPolicy(settings, m_hostId),
                 [this](const std::shared_ptr<RequestRecord> &record) { decide(record); })
    , m_mover(m_dependencies.registry, m_dependencies.timeline, moverHooks())
    , m_follower(m_dependencies.log, m_dependencies.timeline, logHandlers())
    , m_hosts(
          m_dependencies.hosts, [this](const platform::HostList &list) { takeHosts(list); }, [this] { return updateReady(); })
    , m_templateReappender(m_templates, m_upstreams, m_follower, m_dependencies.log)
    , m_publisher(m_templates, m_upstreams, m_follower, m_dependencies.log)
{
}

RequestMover::Hooks HostController::moverHooks()
{
    RequestMover::Hooks hooks;
    hooks.decide = [this](const std::shared_ptr<RequestRecord> &record) { decide(record); };
    hooks.withdraw = [this](const std::shared_ptr<RequestRecord> &record) { m_loop.post(decisions::CallerLeft{record->number}); };
    hooks.busy = [this] { return openRequests() > 0; };
    return hooks;
}

void HostController::adopt(replication::ReplicaRecord record)
{
    m_mover.adopt(std::move(record));
}

void HostController::leave(std::chrono::milliseconds notice, std::function<void()> done)
{
    beginStop();
    const auto run = [this, notice, done = std::move(done)]() -> net::awaitable<void> {
        co_await m_mover.leave(notice);
        done();
    };
    net::co_spawn(m_context, run, net::detached);
}

void HostController::use(replication::IReplicator &replicator)
{
    m_mover.use(replicator);
}

void HostController::join(membership::IMembership &membership, const std::shared_ptr<rpc::IPeerClient> &client, rpc::IPeerServer &server)
{
    m_membership = &membership;
    m_hosts.join(membership, client, server);
    m_templateExchange = std::make_shared<TemplateExchange>(m_context, m_templates, m_follower, client, [this] { m_publisher.wake(); });
    m_templateExchange->serve(server);
    membership.addSection(m_templateExchange);
    membership.addObserver([this](const membership::Peer &peer, membership::PeerChange change) {
        if (change == membership::PeerChange::Lost) {
            m_templateExchange->forget(peer.name);
        }
    });
    membership.addSection(std::make_shared<LeavingUpstreamsSection>(m_upstreams, coreNow));
}

void HostController::start()
{
    net::co_spawn(m_context, m_follower.run(), net::detached);
    net::co_spawn(m_context, m_hosts.run(), net::detached);
    net::co_spawn(m_context, m_loads.run(), net::detached);
    net::co_spawn(m_context, m_templateReappender.run(), net::detached);
}

void HostController::submit(std::shared_ptr<RequestRecord> record)
{
    m_loop.expectRequest();
    net::post(m_context, [this, record = std::move(record)] { arrive(record); });
}

LogHandlers HostController::logHandlers()
{
    LogHandlers handlers;
    handlers.record = [this](const platform::LogRecord &record) { takeRecord(record); };
    handlers.page = [this](const platform::LogPage &page, bool caughtUp) { m_bookings.logRead({page.oldest, page.next, caughtUp}); };
    handlers.gap = [this](std::uint64_t oldest) {
        m_bookings.logGap(oldest);
        m_templates.noteGap();
    };
    return handlers;
}

void HostController::arrive(const std::shared_ptr<RequestRecord> &record)
{
    if (record->spec.idempotent) {
        m_telemetry.arrived(*record);
        m_mover.accepted(record);
        decide(record);
        return;
    }
    m_bookings.arrive(record);
    m_loop.scheduleTick();
}

/// Hands a request to the decision core.
void HostController::decide(const std::shared_ptr<RequestRecord> &record)
{
    record->parked = false;
    // The next tick counts the request; until then a stop has to wait for it.
    m_loop.expectRequest();
    m_loop.post(arrivalOf(*record, m_workspaces.intern(record->spec.workspace), m_upstreams.target(record->spec.target)));
}

void HostController::callerLeft(std::shared_ptr<RequestRecord> record)
{
    net::post(m_context, [this, record = std::move(record)] {
        if (record->readers > 0 || record->transcript.end() != requests::TranscriptEnd::Open || !record->spec.idempotent) {
            return;
        }
        record->parked = true;
        m_telemetry.callerGone(*record);
        m_dependencies.registry->finished(*record);
        m_loop.post(decisions::CallerLeft{record->number});
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
        m_loop.post(decisions::HostStopping{});
    });
}

std::size_t HostController::openRequests() const
{
    return m_loop.openRequests() + m_bookings.open() + m_mover.moving();
}

bool HostController::ready() const
{
    return m_ready && !m_stopping;
}

void HostController::attemptProgressed(AttemptId attempt, std::uint32_t tokens)
{
    net::post(m_context, [this, attempt, tokens] {
        m_telemetry.progressed(attempt);
        m_loop.post(decisions::AttemptProgressed{attempt, tokens});
    });
}

void HostController::attemptEnded(AttemptId attempt, upstreams::AttemptResult result)
{
    net::post(m_context, [this, attempt, result = std::move(result)] {
        m_launcher.forget(attempt);
        m_telemetry.attemptEnded(attempt, result);
        const auto running = m_attemptUpstreams.find(attempt);
        if (running != m_attemptUpstreams.end()) {
            if (result.leavesIn) {
                m_upstreams.markLeaving(running->second, *result.leavesIn, coreNow());
            }
            m_attemptUpstreams.erase(running);
        }
        m_loop.post(decisions::AttemptEnded{attempt, result.outcome});
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
        m_loop.post(decisions::AttemptEnded{action.attempt, decisions::AttemptOutcome::NotOffered});
        return;
    }
    const platform::ListedHost &host = m_upstreams.host(action.upstream);
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
    m_launcher.launch(record, spec);
}

void HostController::perform(const decisions::CancelAttempt &action)
{
    m_telemetry.attemptCancelled(action.attempt);
    m_launcher.cancel(action.attempt);
}

void HostController::perform(const decisions::RefuseRequest &action)
{
    const std::shared_ptr<RequestRecord> record = m_dependencies.registry->find(action.request);
    if (!record) {
        return;
    }
    m_telemetry.refused(*record, name(action.code), action.run);
    record->transcript.refuse(refusalOf(action));
    m_dependencies.registry->finished(*record);
    m_mover.ended(*record);
    if (!record->spec.idempotent) {
        m_bookings.ended(*record, action.run);
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
    m_dependencies.registry->finished(*record);
    m_mover.ended(*record);
    if (!record->spec.idempotent) {
        m_bookings.ended(*record, RunState::Ran);
    }
}

void HostController::takeRecord(const platform::LogRecord &record)
{
    if (m_bookings.takeRecord(record)) {
        return;
    }
    if (m_templates.take(record, coreNow())) {
        m_publisher.wake();
        return;
    }
    m_skipped.noteRecord(record.offset);
}

void HostController::applyRoutes(const templates::WorkspaceTemplate &content)
{
    decisions::WorkspaceRouted event{m_workspaces.intern(content.workspace), {}};
    for (const templates::ModelRoute &route : content.models) {
        event.targets.push_back(m_upstreams.target(route.name));
    }
    for (const templates::ServiceRoute &route : content.services) {
        event.targets.push_back(m_upstreams.target(route.name));
    }
    m_loop.post(std::move(event));
}

void HostController::applyLimits()
{
    const std::uint32_t hosts = static_cast<std::uint32_t>(m_upstreams.entryHosts());
    m_bookings.setHosts(hosts);
    m_loop.post(decisions::EntryHostsCounted{hosts});
    const decisions::HostPlace place = m_upstreams.place(m_settings.name);
    for (const std::string &workspace : m_templates.fold().workspaces()) {
        const templates::WorkspaceLimits &limits = m_templates.fold().inForce(workspace)->content.limits;
        m_loop.post(decisions::WorkspaceLimited{
            m_workspaces.intern(workspace), shareOfLimit(limits.requestsInFlight, place), shareOfLimit(limits.requestsQueued, place)});
    }
}

void HostController::takeHosts(const platform::HostList &list)
{
    m_skipped.noteList(list);
    m_upstreams.update(list, coreNow());
    applyLimits();
}

bool HostController::updateReady()
{
    if (m_ready || m_stopping || !m_hosts.hasRead() || !m_templateExchange->complete()) {
        return m_ready;
    }
    m_ready = true;
    m_dependencies.timeline->record(EventKind::HostReady, {.detail = m_follower.caughtUp() ? "" : "templates from a peer, the log is out"});
    return true;
}

net::awaitable<PublishResult> HostController::publish(PublishRequest request)
{
    co_return co_await net::co_spawn(m_context, m_publisher.publish(std::move(request)), net::use_awaitable);
}

net::awaitable<std::optional<PublishResult>> HostController::check(PublishRequest request)
{
    const auto collect = [&]() -> net::awaitable<std::optional<PublishResult>> { co_return m_publisher.refusalOf(request); };
    co_return co_await net::co_spawn(m_context, collect, net::use_awaitable);
}

net::awaitable<std::vector<templates::StatedRevision>> HostController::history(std::string workspace)
{
    const auto collect = [&]() -> net::awaitable<std::vector<templates::StatedRevision>> {
        const std::span<const templates::StatedRevision> kept = m_templates.fold().history(workspace);
        co_return std::vector<templates::StatedRevision>(kept.begin(), kept.end());
    };
    co_return co_await net::co_spawn(m_context, collect, net::use_awaitable);
}

net::awaitable<std::optional<bookings::Outcome>> HostController::bookingOutcome(std::string key)
{
    const auto find = [this, key = std::move(key)]() -> net::awaitable<std::optional<bookings::Outcome>> { co_return m_bookings.outcomeOf(key); };
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
    status.logReachable = m_follower.reachable();
    status.logPosition = m_follower.position();
    status.openRequests = m_loop.openRequests();
    status.name = m_settings.name;
    status.zone = m_settings.zone;
    status.replicaRecords = m_mover.replicaRecords();
    status.upstreams = m_upstreams.upstreams();
    for (const std::string &workspace : m_templates.fold().workspaces()) {
        status.templates.push_back(m_templates.fold().inForce(workspace)->stated);
    }
    for (const membership::Peer &peer : m_membership->peers()) {
        status.peers.push_back(peerStatusOf(peer, *m_templateExchange, m_follower));
    }
    return status;
}

}
