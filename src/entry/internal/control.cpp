#include "entry/internal/control.h"

#include "base/text.h"
#include "entry/internal/leavingsection.h"
#include "entry/internal/refusals.h"

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

constexpr std::chrono::milliseconds HostListWait{2'000};
constexpr std::chrono::milliseconds HostListRetry{200};
constexpr std::chrono::milliseconds VerdictTimeout{10'000};
constexpr std::chrono::milliseconds VerdictPoll{10};

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

Control::Control(const EntrySettings &settings, ControlParts parts, net::io_context &control, net::io_context &traffic, std::string hostId)
    : m_settings(settings)
    , m_parts(std::move(parts))
    , m_context(control)
    , m_hostId(std::move(hostId))
    , m_journal(m_parts.timeline, m_parts.metrics)
    , m_launcher(traffic, *this)
    , m_core(decisions::makeDecisionCore({}, chosenSeed(settings.seed)))
    , m_templates(templates::makeTemplateFold())
    , m_upstreams(settings.zone, m_parts.timeline, [this](decisions::Event event) { post(std::move(event)); })
    , m_bookings(control,
                 {m_parts.registry, m_parts.timeline, m_parts.log, m_journal},
                 bookingPolicy(settings, m_hostId),
                 [this](const std::shared_ptr<RequestRecord> &record) { decide(record); })
    , m_follower(m_parts.log, m_parts.timeline, logHandlers())
    , m_wake(control)
{
}

void Control::join(membership::IMembership &membership)
{
    m_membership = &membership;
    membership.addSection(std::make_shared<LeavingSection>(m_upstreams, [this] { return now(); }));
}

void Control::start()
{
    net::co_spawn(m_context, m_follower.run(), net::detached);
    net::co_spawn(m_context, followHosts(), net::detached);
}

TimePoint Control::now() const
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

void Control::post(decisions::Event event)
{
    m_core->post(std::move(event));
    scheduleTick();
}

void Control::scheduleTick()
{
    if (m_tickScheduled) {
        return;
    }
    m_tickScheduled = true;
    net::post(m_context, [this] { tick(); });
}

void Control::tick()
{
    m_tickScheduled = false;
    for (const decisions::Action &action : m_core->tick(now())) {
        std::visit([this](const auto &typed) { perform(typed); }, action);
    }
    m_openRequests = m_core->openRequests();
    armWake();
}

void Control::armWake()
{
    const std::optional<TimePoint> wake = m_core->nextWake();
    if (!wake) {
        m_wake.cancel();
        return;
    }
    m_wake.expires_at(std::chrono::steady_clock::time_point(wake->time_since_epoch()));
    m_wake.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            scheduleTick();
        }
    });
}

void Control::submit(std::shared_ptr<RequestRecord> record)
{
    ++m_openRequests;
    net::post(m_context, [this, record = std::move(record)] { arrive(record); });
}

LogHandlers Control::logHandlers()
{
    LogHandlers handlers;
    handlers.record = [this](const platform::LogRecord &record) { takeRecord(record); };
    handlers.page = [this](const platform::LogPage &page, bool caughtUp) { m_bookings.logRead({page.oldest, page.next, caughtUp}); };
    handlers.gap = [this](std::uint64_t oldest) { m_bookings.logGap(oldest); };
    return handlers;
}

void Control::arrive(const std::shared_ptr<RequestRecord> &record)
{
    if (record->spec.idempotent) {
        m_journal.arrived(*record);
        decide(record);
        return;
    }
    m_bookings.arrive(record);
    scheduleTick();
}

/// Hands a request to the decision core.
void Control::decide(const std::shared_ptr<RequestRecord> &record)
{
    const requests::RequestSpec &spec = record->spec;
    decisions::RequestArrived event{};
    event.request = record->number;
    event.workspace = m_workspaces.intern(spec.workspace);
    event.trafficClass = spec.trafficClass;
    event.target = m_upstreams.target(spec.target);
    const std::chrono::steady_clock::time_point deadline = record->arrivedAt + spec.deadline;
    event.deadline = TimePoint(std::chrono::duration_cast<Duration>(deadline.time_since_epoch()));
    if (spec.firstToken.count() > 0 && spec.trafficClass != TrafficClass::Plan) {
        event.firstTokenBy = TimePoint(std::chrono::duration_cast<Duration>((record->arrivedAt + spec.firstToken).time_since_epoch()));
    }
    event.promptTokens = spec.promptTokens;
    event.expectedTokens = spec.maxTokens;
    event.tokensDone = static_cast<std::uint32_t>(record->transcript.size());
    event.idempotent = spec.idempotent;
    record->parked = false;
    // The next tick counts the request; until then a stop has to wait for it.
    ++m_openRequests;
    post(event);
}

void Control::callerLeft(std::shared_ptr<RequestRecord> record)
{
    net::post(m_context, [this, record = std::move(record)] {
        if (record->readers > 0 || record->transcript.end() != requests::TranscriptEnd::Open || !record->spec.idempotent) {
            return;
        }
        record->parked = true;
        m_journal.callerGone(*record);
        m_parts.registry->finished(*record);
        post(decisions::CallerLeft{record->number});
    });
}

void Control::beginStop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    m_ready = false;
    net::post(m_context, [this] {
        m_parts.timeline->record(EventKind::HostStopping, {});
        m_membership->leave();
        post(decisions::HostStopping{});
    });
}

std::size_t Control::openRequests() const
{
    return m_openRequests + m_bookings.open();
}

bool Control::ready() const
{
    return m_ready && !m_stopping;
}

void Control::attemptProgressed(AttemptId attempt, std::uint32_t tokens)
{
    net::post(m_context, [this, attempt, tokens] {
        m_journal.progressed(attempt);
        post(decisions::AttemptProgressed{attempt, tokens});
    });
}

void Control::attemptEnded(AttemptId attempt, upstreams::AttemptResult result)
{
    net::post(m_context, [this, attempt, result = std::move(result)] {
        m_launcher.forget(attempt);
        m_journal.attemptEnded(attempt, result);
        const auto running = m_attemptUpstreams.find(attempt);
        if (running != m_attemptUpstreams.end()) {
            if (result.leavesIn) {
                m_upstreams.markLeaving(running->second, *result.leavesIn, now());
            }
            m_attemptUpstreams.erase(running);
        }
        post(decisions::AttemptEnded{attempt, result.outcome});
    });
}

void Control::perform(const decisions::StartAttempt &action)
{
    const std::shared_ptr<RequestRecord> record = m_parts.registry->find(action.request);
    if (!record) {
        post(decisions::AttemptEnded{action.attempt, decisions::AttemptOutcome::NotOffered});
        return;
    }
    const platform::ListedHost &host = m_upstreams.host(action.upstream);
    m_attemptUpstreams[action.attempt] = action.upstream;
    m_journal.routed(record, action.attempt, host.name, action.reason);
    upstreams::AttemptSpec spec;
    spec.attempt = action.attempt;
    spec.attemptName = m_hostId + "." + RequestJournal::attemptText(action.attempt);
    spec.endpoint = host.endpoint;
    spec.timeouts = m_settings.attemptTimeouts;
    m_launcher.launch(record, spec);
}

void Control::perform(const decisions::CancelAttempt &action)
{
    m_journal.attemptCancelled(action.attempt);
    m_launcher.cancel(action.attempt);
}

void Control::perform(const decisions::RefuseRequest &action)
{
    const std::shared_ptr<RequestRecord> record = m_parts.registry->find(action.request);
    if (!record) {
        return;
    }
    m_journal.refused(*record, name(action.code), action.run);
    record->transcript.refuse(refusalOf(action));
    m_parts.registry->finished(*record);
    if (!record->spec.idempotent) {
        m_bookings.ended(*record, action.run);
    }
}

void Control::perform(const decisions::QueueRequest &action)
{
    const std::shared_ptr<RequestRecord> record = m_parts.registry->find(action.request);
    if (record) {
        m_journal.queued(*record, action.ahead);
    }
}

void Control::perform(const decisions::CompleteRequest &action)
{
    const std::shared_ptr<RequestRecord> record = m_parts.registry->find(action.request);
    if (!record) {
        return;
    }
    m_journal.completed(*record, action.attempt);
    m_parts.registry->finished(*record);
    if (!record->spec.idempotent) {
        m_bookings.ended(*record, RunState::Ran);
    }
}

void Control::takeRecord(const platform::LogRecord &record)
{
    if (m_bookings.takeRecord(record)) {
        return;
    }
    const std::optional<templates::TemplateChange> change = templates::changeFromRecord(record.data);
    if (!change) {
        m_parts.timeline->record(EventKind::RecordSkipped, {.detail = "log offset " + std::to_string(record.offset) + " cannot be read"});
        return;
    }
    const templates::ChangeResult result = m_templates->apply(record.offset, *change);
    if (result.verdict == templates::ChangeVerdict::Accepted) {
        putInForce(*m_templates->inForce(change->workspace));
        return;
    }
    m_parts.timeline->record(EventKind::TemplateRejected, {.workspace = change->workspace, .detail = result.reason});
}

void Control::putInForce(const templates::TemplateRevision &revision)
{
    m_parts.templates->replace(std::make_shared<templates::WorkspaceTemplate>(revision.content));
    m_parts.timeline->record(EventKind::TemplateInForce,
                             {.workspace = revision.content.workspace, .detail = "revision " + std::to_string(revision.revision) + " by " + revision.author});
    spdlog::info("event=template_in_force workspace={} revision={}", revision.content.workspace, revision.revision);
    applyLimits();
}

void Control::applyLimits()
{
    const std::uint32_t hosts = static_cast<std::uint32_t>(m_upstreams.entryHosts());
    m_bookings.setHosts(hosts);
    post(decisions::EntryHostsCounted{hosts});
    for (const std::string &workspace : m_templates->workspaces()) {
        const templates::WorkspaceLimits &limits = m_templates->inForce(workspace)->content.limits;
        post(decisions::WorkspaceLimited{m_workspaces.intern(workspace), limits.requestsInFlight / hosts, limits.requestsQueued / hosts});
    }
}

net::awaitable<void> Control::followHosts()
{
    net::steady_timer delay(m_context);
    std::uint64_t known = 0;
    while (true) {
        platform::PlatformFailure failure;
        const std::chrono::milliseconds wait = m_hostsRead ? HostListWait : std::chrono::milliseconds(0);
        const std::optional<platform::HostList> list = co_await m_parts.hosts->list(known, wait, failure);
        if (list) {
            known = list->version;
            m_upstreams.update(*list, now());
            m_membership->update(*list);
            m_hostsRead = true;
            applyLimits();
        }
        if (!m_ready && m_hostsRead && m_follower.caughtUp() && !m_stopping) {
            m_ready = true;
            m_parts.timeline->record(EventKind::HostReady, {});
        }
        if (!list || !m_ready) {
            delay.expires_after(HostListRetry);
            co_await delay.async_wait(net::as_tuple(net::use_awaitable));
        }
    }
}

net::awaitable<PublishResult> Control::publish(templates::TemplateChange change)
{
    co_return co_await net::co_spawn(m_context, publishHere(std::move(change)), net::use_awaitable);
}

net::awaitable<PublishResult> Control::publishHere(templates::TemplateChange change)
{
    std::vector<SettingsError> errors;
    const std::optional<templates::WorkspaceTemplate> content = templates::parseTemplate(change.text, change.workspace, errors);
    if (!content) {
        co_return PublishResult{PublishVerdict::Invalid, 0, errors.front().text()};
    }
    platform::PlatformFailure failure;
    std::vector<std::string> records{templates::toRecord(change)};
    const std::optional<std::uint64_t> offset = co_await m_parts.log->append(std::move(records), failure);
    if (!offset && failure.error == platform::PlatformError::Unreachable) {
        co_return PublishResult{PublishVerdict::PlatformDown, 0, failure.detail};
    }
    const std::optional<templates::ChangeResult> result = co_await awaitVerdict(change.changeId);
    if (!result) {
        co_return PublishResult{PublishVerdict::Unknown, 0, failure.detail};
    }
    switch (result->verdict) {
    case templates::ChangeVerdict::Accepted:
    case templates::ChangeVerdict::Duplicate:
        co_return PublishResult{PublishVerdict::Accepted, result->revision, {}};
    case templates::ChangeVerdict::Conflict:
        co_return PublishResult{PublishVerdict::Conflict, result->revision, result->reason};
    case templates::ChangeVerdict::Invalid:
        break;
    }
    co_return PublishResult{PublishVerdict::Invalid, result->revision, result->reason};
}

net::awaitable<std::optional<templates::ChangeResult>> Control::awaitVerdict(std::string changeId)
{
    net::steady_timer poll(m_context);
    const std::chrono::steady_clock::time_point giveUp = std::chrono::steady_clock::now() + VerdictTimeout;
    while (std::chrono::steady_clock::now() < giveUp) {
        const std::optional<templates::ChangeResult> result = m_templates->verdictOf(changeId);
        if (result) {
            co_return result;
        }
        poll.expires_after(VerdictPoll);
        co_await poll.async_wait(net::as_tuple(net::use_awaitable));
    }
    co_return std::nullopt;
}

net::awaitable<std::optional<bookings::Outcome>> Control::bookingOutcome(std::string key)
{
    const auto find = [this, key = std::move(key)]() -> net::awaitable<std::optional<bookings::Outcome>> { co_return m_bookings.outcomeOf(key); };
    co_return co_await net::co_spawn(m_context, find, net::use_awaitable);
}

net::awaitable<ControlStatus> Control::status()
{
    const auto collect = [this]() -> net::awaitable<ControlStatus> { co_return makeStatus(); };
    co_return co_await net::co_spawn(m_context, collect, net::use_awaitable);
}

ControlStatus Control::makeStatus() const
{
    ControlStatus status;
    status.ready = ready();
    status.stopping = m_stopping;
    status.logReachable = m_follower.reachable();
    status.logPosition = m_follower.position();
    status.openRequests = m_core->openRequests();
    status.upstreams = m_upstreams.upstreams();
    for (const std::string &workspace : m_templates->workspaces()) {
        const templates::TemplateRevision &revision = *m_templates->inForce(workspace);
        status.templates.push_back({workspace, revision.revision, revision.author, revision.changeId, revision.text});
    }
    return status;
}

}
