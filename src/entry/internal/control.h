#pragma once

#include "decisions/idecisioncore.h"
#include "entry/entrysettings.h"
#include "entry/internal/attemptlauncher.h"
#include "entry/internal/bookingrunner.h"
#include "entry/internal/logfollower.h"
#include "entry/internal/requestjournal.h"
#include "entry/internal/templateview.h"
#include "entry/internal/upstreamdirectory.h"
#include "membership/imembership.h"
#include "platform/iplatform.h"
#include "requests/requestregistry.h"
#include "templates/itemplatefold.h"
#include "timeline/itimeline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>

namespace rosemaryshift::entry {

enum class PublishVerdict : std::uint8_t {
    Accepted,
    Conflict,
    Invalid,
    PlatformDown, ///< Nothing was published.
    Unknown,      ///< The change may come into force yet; ask again by its change id.
};

struct PublishResult {
    PublishVerdict verdict = PublishVerdict::Unknown;
    std::uint64_t revision = 0;
    std::string reason;
};

/// One workspace's template as operators are shown it.
struct TemplateStatus {
    std::string workspace;
    std::uint64_t revision = 0;
    std::string author;
    std::string changeId;
    std::string text;
};

struct ControlStatus {
    bool ready = false;
    bool stopping = false;
    bool logReachable = false;
    std::uint64_t logPosition = 0;
    std::size_t openRequests = 0;
    std::vector<std::pair<platform::ListedHost, bool>> upstreams;
    std::vector<TemplateStatus> templates;
};

/// What the control thread shares with the rest of the host.
struct ControlParts {
    std::shared_ptr<requests::RequestRegistry> registry;
    std::shared_ptr<TemplateView> templates;
    std::shared_ptr<timeline::ITimeline> timeline;
    std::shared_ptr<metrics::IMetrics> metrics;
    std::shared_ptr<platform::ILog> log;
    std::shared_ptr<platform::IHostDirectory> hosts;
};

/// Owns all control state: the decision core, the folds over the log and the upstreams. Everything but the methods
/// marked thread-safe runs on the one control thread.
class Control : public IAttemptObserver
{
public:
    Control(const EntrySettings &settings, ControlParts parts, boost::asio::io_context &control, boost::asio::io_context &traffic, std::string hostId);

    /// Makes the membership known. Precondition: called once, before start().
    void join(membership::IMembership &membership);
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
    boost::asio::awaitable<PublishResult> publish(templates::TemplateChange change);
    /// How the booking under the digest @p key ended, if this host knows. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<std::optional<bookings::Outcome>> bookingOutcome(std::string key);
    /// State for operators. Resumes on the executor of the caller. Thread-safe.
    boost::asio::awaitable<ControlStatus> status();

    void attemptProgressed(AttemptId attempt, std::uint32_t tokens) override;
    void attemptEnded(AttemptId attempt, upstreams::AttemptResult result) override;

private:
    [[nodiscard]] TimePoint now() const;
    void post(decisions::Event event);
    void scheduleTick();
    void tick();
    void armWake();
    void perform(const decisions::StartAttempt &action);
    void perform(const decisions::CancelAttempt &action);
    void perform(const decisions::RefuseRequest &action);
    void perform(const decisions::QueueRequest &action);
    void perform(const decisions::CompleteRequest &action);
    void takeRecord(const platform::LogRecord &record);
    void putInForce(const templates::TemplateRevision &revision);
    void applyLimits();
    [[nodiscard]] ControlStatus makeStatus() const;
    boost::asio::awaitable<void> followHosts();
    boost::asio::awaitable<PublishResult> publishHere(templates::TemplateChange change);
    boost::asio::awaitable<std::optional<templates::ChangeResult>> awaitVerdict(std::string changeId);
    void arrive(const std::shared_ptr<requests::RequestRecord> &record);
    void decide(const std::shared_ptr<requests::RequestRecord> &record);
    [[nodiscard]] LogHandlers logHandlers();

    const EntrySettings m_settings;
    const ControlParts m_parts;
    boost::asio::io_context &m_context;
    const std::string m_hostId;
    RequestJournal m_journal;
    AttemptLauncher m_launcher;
    std::unique_ptr<decisions::IDecisionCore> m_core;
    std::unique_ptr<templates::ITemplateFold> m_templates;
    UpstreamDirectory m_upstreams;
    BookingRunner m_bookings;
    LogFollower m_follower;
    membership::IMembership *m_membership = nullptr;
    NameTable<WorkspaceId> m_workspaces;
    std::map<AttemptId, UpstreamId> m_attemptUpstreams;
    boost::asio::steady_timer m_wake;
    bool m_tickScheduled = false;
    bool m_hostsRead = false;
    std::atomic<std::size_t> m_openRequests = 0;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_stopping = false;
};

}
