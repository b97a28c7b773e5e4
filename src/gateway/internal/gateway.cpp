#include "base/text.h"
#include "gateway/igateway.h"
#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/configurationfollower.h"
#include "gateway/internal/configurationserver.h"
#include "gateway/internal/connectionobserver.h"
#include "gateway/internal/contextgauges.h"
#include "gateway/internal/dutyrunner.h"
#include "gateway/internal/gossipendpoint.h"
#include "gateway/internal/hostclock.h"
#include "gateway/internal/logrelay.h"
#include "gateway/internal/loopsampler.h"
#include "gateway/internal/peerheaders.h"
#include "gateway/internal/quotareport.h"
#include "gateway/internal/reachprober.h"
#include "gateway/internal/requestsession.h"
#include "gateway/internal/rolloutrunner.h"
#include "gateway/internal/streammoves.h"
#include "gateway/internal/streamregistry.h"
#include "gateway/internal/suspectrecorder.h"
#include "gateway/internal/upstreamfollower.h"

#include <boost/asio.hpp>

#include <csignal>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Interval at which the event log is flushed and expired idle connections are closed.
constexpr std::chrono::milliseconds MaintenanceInterval{250};
/// Interval at which the settings are read again, since they may change without a signal.
constexpr std::chrono::seconds SettingsReloadInterval{5};
/// Interval at which a stopping process checks whether all requests and connections have ended.
constexpr std::chrono::milliseconds DrainPollInterval{50};
/// Allowance for the headers that a peer adds to a request that it forwards.
constexpr std::uint32_t PeerHeaderBytes = 512;

http::Response textResponse(int status, std::string body)
{
    http::Response response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain");
    response.body = std::move(body);
    return response;
}

net::awaitable<void> sendResponse(http::IResponseWriter &writer, http::Response response)
{
    co_await writer.respond(std::move(response));
}

/// The addresses of @p seeds without their ports, since gossip uses the same port on all gateways.
std::vector<std::string> seedAddresses(const std::vector<std::string> &seeds)
{
    std::vector<std::string> addresses;
    for (const std::string &seed : seeds) {
        addresses.push_back(seed.substr(0, seed.find(':')));
    }
    return addresses;
}

class Gateway : public IGateway
{
public:
    Gateway(const GatewaySettings &settings, PlatformPorts ports, std::function<std::optional<GatewaySettings>()> reload)
        : m_reload(std::move(reload))
        , m_context(settings, std::move(ports), randomId().substr(0, 8))
        , m_logRelay(m_context)
        , m_configurationFollower(m_context, m_logRelay, [this] { applyConfiguration(); })
        , m_upstreamFollower(m_context, m_logRelay)
        , m_streamRegistry(m_context, m_upstreamFollower)
        , m_gossip(m_context, m_configurationFollower, m_logRelay, m_usageCollector)
        , m_dutyRunner(m_context, m_gossip, m_usageCollector)
        , m_rolloutRunner(m_context, m_dutyRunner, m_gossip)
        , m_reachProber(m_context)
        , m_loopSampler(m_context)
        , m_streamMoves(m_context, m_io.get_executor())
        , m_suspectRecorder(m_context, m_io.get_executor())
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    {
        m_context.peers = &m_gossip.registry();
        m_context.streamMoves = &m_streamMoves;
        m_context.suspectRecorder = &m_suspectRecorder;
        m_logRelay.setAnnouncementHandler([this](std::uint64_t version, const std::string &address) { m_gossip.noteConfigurationAt(address, version); });
        m_gossip.setSeeds(seedAddresses(settings.seeds));
    }

    bool listen(std::string &reason)
    {
        const GatewaySettings &settings = m_context.settings;
        http::ServerLimits limits;
        limits.memory = m_context.heldBytes;
        m_callerServer = http::makeHttpServer(
            m_io,
            settings.callerListener,
            limits,
            [this](http::Request request, http::IResponseWriter &writer) { return serve(std::move(request), writer, false); },
            reason,
            std::make_shared<ConnectionObserver>(m_context, "caller"));
        m_readinessServer = http::makeHttpServer(
            m_io,
            settings.readinessListener,
            limits,
            [this](http::Request, http::IResponseWriter &writer) { return sendResponse(writer, textResponse(ready() ? 200 : 503, {})); },
            reason);
        m_peerServer = http::makeHttpServer(
            m_io,
            settings.peerListener,
            limits,
            [this](http::Request request, http::IResponseWriter &writer) { return servePeer(std::move(request), writer); },
            reason,
            std::make_shared<ConnectionObserver>(m_context, "peer"));
        if (!m_callerServer || !m_readinessServer || !m_peerServer || !m_gossip.open(m_io, reason) || !m_logRelay.open(m_io, reason)) {
            return false;
        }
        if (settings.metricsListener) {
            m_metricsServer = http::makeHttpServer(
                m_io,
                *settings.metricsListener,
                limits,
                [this](http::Request, http::IResponseWriter &writer) { return sendResponse(writer, textResponse(200, metricsText())); },
                reason);
        }
        return m_metricsServer || !settings.metricsListener;
    }

    void run() override
    {
        m_context.eventLog.write(
            "started",
            eventlog::Importance::StateChange,
            {{"zone", m_context.settings.zone}, {"callers", m_callerServer->endpoint().text()}, {"readiness", m_readinessServer->endpoint().text()}});
        m_context.eventLog.flush();
        startTask(m_io.get_executor(), m_configurationFollower.run());
        startTask(m_io.get_executor(), m_upstreamFollower.run());
        startTask(m_io.get_executor(), m_streamRegistry.run());
        startTask(m_io.get_executor(), m_suspectRecorder.run());
        startTask(m_io.get_executor(), m_reachProber.run());
        startTask(m_io.get_executor(), m_loopSampler.run());
        startTask(m_io.get_executor(), m_gossip.send());
        startTask(m_io.get_executor(), m_gossip.receive());
        startTask(m_io.get_executor(), m_logRelay.receive());
        startTask(m_io.get_executor(), runMaintenance());
        if (m_context.ports.dutyClient) {
            startTask(m_io.get_executor(), m_dutyRunner.run());
        }
        startTask(m_io.get_executor(), m_rolloutRunner.run());
        waitForSignal();
        m_io.run();
        m_context.eventLog.write("stopped", eventlog::Importance::StateChange, {});
        m_context.eventLog.flush();
    }

private:
    /// Answers a peer: with the configuration, or by handling a request that the peer forwards.
    net::awaitable<void> servePeer(http::Request request, http::IResponseWriter &writer)
    {
        const std::optional<std::string_view> token = request.headers.find(PeerTokenHeader);
        if (!token) {
            co_await m_configurationServer.serve(request, writer);
            co_return;
        }
        if (!equalSecrets(*token, m_context.forwardingToken)) {
            http::Response response = textResponse(403, {});
            co_await writer.respond(std::move(response));
            co_return;
        }
        if (m_context.stop.begun()) {
            // Without the header of an accepted request, so that the peer sends it to another host.
            http::Response response = textResponse(503, {});
            co_await writer.respond(std::move(response));
            co_return;
        }
        request.headers = withoutHeader(request.headers, PeerTokenHeader);
        co_await serve(std::move(request), writer, true);
    }

    net::awaitable<void> serve(http::Request request, http::IResponseWriter &writer, bool fromPeer)
    {
        const std::shared_ptr<RequestSession> session = std::make_shared<RequestSession>(m_context, m_streamRegistry, std::move(request), writer, fromPeer);
        const OpenRequests::Entry entry(m_openRequests, *session);
        co_await session->run();
    }

    [[nodiscard]] bool ready() const
    {
        const TimePoint now = hostNow();
        const std::optional<Duration> age = m_context.configuration.age(now);
        return !m_context.stop.begun() && m_upstreamFollower.listRead() && m_suspectRecorder.recordsRead() && age
            && *age < m_context.settings.maxRevocationDelay && !m_context.configuration.outdated(now, m_context.settings.maxConfigurationDelay);
    }

    void applyConfiguration()
    {
        const routing::Configuration &configuration = m_context.configuration.table()->configuration();
        m_quotaReport.applyConfiguration(hostNow());
        http::ServerLimits limits;
        limits.memory = m_context.heldBytes;
        limits.headerBytes = configuration.limits.headerBytes;
        limits.bodyBytes = configuration.limits.bodyBytes;
        limits.headerTimeout = configuration.limits.headerTimeout;
        limits.idleTimeout = configuration.limits.idleTimeout;
        m_callerServer->setLimits(limits);
        limits.headerBytes += PeerHeaderBytes;
        m_peerServer->setLimits(limits);
    }

    net::awaitable<void> runMaintenance()
    {
        TimePoint reloadedAt = hostNow();
        while (true) {
            m_quotaReport.update(hostNow());
            m_configurationFollower.logConfirmation(hostNow());
            m_context.eventLog.flush();
            m_context.upstreamConnections->closeExpired();
            m_context.peerConnections->closeExpired();
            m_usageCollector.dropBefore(m_context.usageLedger.earliestDue(m_context.wallClock.sinceEpoch(hostNow()), m_context.settings.usageReportDelay));
            if (hostNow() - reloadedAt > SettingsReloadInterval) {
                reloadedAt = hostNow();
                reload("interval");
            }
            co_await pause(MaintenanceInterval);
        }
    }

    void reload(std::string_view cause)
    {
        const std::optional<GatewaySettings> settings = m_reload();
        if (!settings) {
            m_context.eventLog.write("reload_failed", eventlog::Importance::StateChange, {{"cause", cause}});
            return;
        }
        const bool changed = settings->seeds != m_seeds;
        m_seeds = settings->seeds;
        m_gossip.setSeeds(seedAddresses(settings->seeds));
        if (changed || cause != "interval") {
            m_context.eventLog.write("reloaded", eventlog::Importance::StateChange, {{"cause", cause}, {"seeds", static_cast<std::int64_t>(m_seeds.size())}});
        }
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload("signal");
            } else if (!m_context.stop.begun()) {
                startTask(m_io.get_executor(), stop());
            }
            waitForSignal();
        });
    }

    net::awaitable<void> stop()
    {
        const TimePoint now = hostNow();
        // The platform counts from the signal, which has waited as long as the event loop was late.
        m_context.stop.begin(now, m_context.loopDelay.estimate(now));
        m_context.eventLog.write("stopping", eventlog::Importance::StateChange, {{"open_requests", static_cast<std::int64_t>(m_openRequests.size())}});
        m_callerServer->announceClose();
        m_peerServer->announceClose();
        m_gossip.sendNow();
        co_await pause(m_context.stop.untilRefusing(hostNow()));
        m_callerServer->stopAccepting();
        while (isOccupied() && m_context.stop.untilEnding(hostNow()).count() > 0) {
            co_await pause(DrainPollInterval);
        }
        if (m_openRequests.size() > 0) {
            co_await endOpenRequests();
        }
        m_gossip.announceLeaving();
        m_io.stop();
    }

    /// Whether requests or callers' connections are open.
    [[nodiscard]] bool isOccupied() const
    {
        return m_openRequests.size() > 0 || m_callerServer->connections() > 0;
    }

    /// Has the open requests answered, and waits until the answers are sent or the process has to exit.
    net::awaitable<void> endOpenRequests()
    {
        const std::size_t open = m_openRequests.size();
        m_openRequests.endAll();
        while (isOccupied() && m_context.stop.untilExit(hostNow()).count() > 0) {
            co_await pause(DrainPollInterval);
        }
        const EndedByStop &ended = m_context.endedByStop;
        m_context.eventLog.write("ended_by_stop",
                                 eventlog::Importance::StateChange,
                                 {{"open_requests", static_cast<std::int64_t>(open)},
                                  {"not_run", static_cast<std::int64_t>(ended.notRun)},
                                  {"may_have_run", static_cast<std::int64_t>(ended.mayHaveRun)},
                                  {"streams_broken_off", static_cast<std::int64_t>(ended.streamsBrokenOff)},
                                  {"unanswered", static_cast<std::int64_t>(m_openRequests.size())}});
    }

    std::string metricsText()
    {
        updateGauges(m_context, hostNow());
        GatewayMetrics &metrics = m_context.metrics;
        metrics.set("rosemaryshift_ready", "", ready() ? 1 : 0);
        metrics.set("rosemaryshift_open_requests", "", static_cast<double>(m_openRequests.size()));
        metrics.set("rosemaryshift_caller_connections", "", static_cast<double>(m_callerServer->connections()));
        metrics.set("rosemaryshift_usage_windows", "", static_cast<double>(m_usageCollector.windows()));
        metrics.set("rosemaryshift_peers", "", static_cast<double>(m_gossip.registry().peers().size()));
        return metrics.text();
    }

    const std::function<std::optional<GatewaySettings>()> m_reload;
    OpenRequests m_openRequests; ///< Before the context of the requests, which destroys them.
    net::io_context m_io{1};
    GatewayContext m_context;
    duties::UsageCollector m_usageCollector;
    LogRelay m_logRelay;
    ConfigurationFollower m_configurationFollower;
    ConfigurationServer m_configurationServer{m_context};
    UpstreamFollower m_upstreamFollower;
    StreamRegistry m_streamRegistry;
    GossipEndpoint m_gossip;
    QuotaReport m_quotaReport{m_context, m_gossip};
    DutyRunner m_dutyRunner;
    RolloutRunner m_rolloutRunner;
    ReachProber m_reachProber;
    LoopSampler m_loopSampler;
    StreamMoves m_streamMoves;
    SuspectRecorder m_suspectRecorder;
    net::signal_set m_signals;
    std::unique_ptr<http::IHttpServer> m_callerServer;
    std::unique_ptr<http::IHttpServer> m_readinessServer;
    std::unique_ptr<http::IHttpServer> m_peerServer;
    std::unique_ptr<http::IHttpServer> m_metricsServer;
    std::vector<std::string> m_seeds;
};

}

std::unique_ptr<IGateway>
makeGateway(const GatewaySettings &settings, PlatformPorts ports, std::function<std::optional<GatewaySettings>()> reload, std::string &reason)
{
    std::unique_ptr<Gateway> gateway = std::make_unique<Gateway>(settings, std::move(ports), std::move(reload));
    return gateway->listen(reason) ? std::move(gateway) : nullptr;
}

}
