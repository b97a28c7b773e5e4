#include "entry/ientryhost.h"

#include "base/text.h"
#include "entry/internal/callerfrontend.h"
#include "entry/internal/hostcontroller.h"
#include "entry/internal/operatorfrontend.h"
#include "entry/internal/peerview.h"
#include "entry/internal/reclaimwatch.h"
#include "entry/internal/requestlocator.h"
#include "http/ihttpserver.h"
#include "membership/imembership.h"
#include "program/program.h"
#include "rpc/ipeerrpc.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <pthread.h>
#include <spdlog/spdlog.h>

#include <thread>
#include <vector>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using timeline::EventKind;

namespace {

constexpr std::chrono::milliseconds StopPollInterval{20};
constexpr std::size_t IncarnationLength = 8;

/// Bearer tokens that operators and peers must present.
struct AccessTokens {
    std::string operators;
    std::string peers;
};

/// Composition root of an entry host: creates all its modules and connects them.
class EntryHost : public IEntryHost
{
public:
    EntryHost(const EntrySettings &settings, AccessTokens tokens, const std::string &incarnation)
        : m_settings(settings)
        , m_incarnation(incarnation)
        , m_controlContext(1)
        , m_trafficContext(static_cast<int>(settings.trafficThreads))
        , m_clock(timeline::makeHybridClock())
        , m_timeline(timeline::makeTimeline(m_clock, settings.name, incarnation, settings.timelineEvents))
        , m_metrics(metrics::makeMetrics())
        , m_registry(std::make_shared<requests::RequestRegistry>(settings.name + "." + incarnation, settings.retention))
        , m_templates(std::make_shared<TemplateView>())
        , m_peerView(std::make_shared<PeerView>())
        , m_controller(settings, controllerDependencies(), m_controlContext, m_trafficContext, settings.name + "." + incarnation)
        , m_peerClient(rpc::makePeerClient(tokens.peers, m_clock))
        , m_peerServer(rpc::makePeerServer(m_controlContext.get_executor(), std::move(tokens.peers), m_clock))
        , m_reclaimWatch(
              platform::makeHttpReclaimNotices(settings.platformEndpoint), settings.name, [this](std::chrono::milliseconds notice) { drain(notice); })
        , m_ticketFrontend(m_controller, m_peerView, settings.name + "." + incarnation, settings.bookings.keyWindow)
        , m_callerFrontend(m_controller, m_registry, m_templates, std::make_shared<RequestLocator>(m_peerView, m_peerClient), m_ticketFrontend)
        , m_operatorFrontend(m_controller, m_timeline, m_metrics, std::move(tokens.operators))
    {
    }

    bool listen(std::string &reason)
    {
        m_callerServer = http::makeHttpServer(m_trafficContext, m_settings.callerEndpoint, m_settings.callerLimits, handlerOf(m_callerFrontend), reason);
        if (!m_callerServer) {
            return false;
        }
        m_operatorServer = http::makeHttpServer(m_trafficContext, m_settings.operatorEndpoint, {}, handlerOf(m_operatorFrontend), reason);
        if (!m_operatorServer) {
            return false;
        }
        m_peerHttpServer = http::makeHttpServer(m_trafficContext, m_settings.peerEndpoint, {}, handlerOf(*m_peerServer), reason);
        if (!m_peerHttpServer) {
            return false;
        }
        setUpMembership();
        return true;
    }

    void run() override
    {
        m_timeline->record(EventKind::HostStarted, {.detail = "zone " + m_settings.zone});
        m_controller.start();
        m_membership->start();
        m_replicator->start();
        net::co_spawn(m_controlContext, m_reclaimWatch.run(), net::detached);
        std::vector<std::thread> threads;
        threads.emplace_back([this] { runNamed("control", m_controlContext); });
        for (std::uint32_t i = 0; i < m_settings.trafficThreads; ++i) {
            threads.emplace_back([this] { runNamed("traffic", m_trafficContext); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        m_timeline->record(EventKind::HostStopped, {});
    }

    void stop() override
    {
        if (m_stopping.exchange(true)) {
            return;
        }
        m_controller.beginStop();
        m_callerServer->stopAccepting();
        net::co_spawn(m_trafficContext, finishStop(), net::detached);
    }

    [[nodiscard]] http::Endpoint callerEndpoint() const override
    {
        return m_callerServer->endpoint();
    }

    [[nodiscard]] http::Endpoint peerEndpoint() const override
    {
        return m_peerHttpServer->endpoint();
    }

    [[nodiscard]] http::Endpoint operatorEndpoint() const override
    {
        return m_operatorServer->endpoint();
    }

private:
    /// Runs @p context on the current thread and names the thread @p name for tools such as top.
    static void runNamed(const char *name, net::io_context &context)
    {
        pthread_setname_np(pthread_self(), name);
        context.run();
    }

    template <typename Frontend>
    static http::RequestHandler handlerOf(Frontend &frontend)
    {
        return [&frontend](http::Request request, http::IResponseWriter &writer) { return frontend.handle(std::move(request), writer); };
    }

    /// Sets up membership and replication, which need the ports that the operating system assigned to the listeners.
    void setUpMembership()
    {
        membership::Peer self;
        self.name = m_settings.name;
        self.incarnation = m_incarnation;
        self.zone = m_settings.zone;
        self.peerEndpoint = m_settings.advertisedPeerEndpoint.value_or(m_peerHttpServer->endpoint());
        self.callerEndpoint = m_callerServer->endpoint();
        m_membership = membership::makeMembership(m_controlContext, m_settings.membership, std::move(self), m_peerClient, *m_peerServer, m_timeline);
        m_membership->addObserver([view = m_peerView](const membership::Peer &peer, membership::PeerChange change) { view->update(peer, change); });
        m_controller.connectPeers(*m_membership, m_peerClient, *m_peerServer);
        const std::string hostId = m_settings.name + "." + m_incarnation;
        m_replicator = replication::makeReplicator(
            m_controlContext, {}, hostId, *m_membership, m_peerClient, *m_peerServer, m_timeline, [this](replication::ReplicaRecord record) {
                m_controller.takeOver(std::move(record));
            });
        addLocateMethod(*m_peerServer, m_registry, *m_replicator);
        m_controller.setReplicator(*m_replicator);
    }

    /// Drains the host, which the platform reclaims after @p notice, and then stops it.
    void drain(std::chrono::milliseconds notice)
    {
        m_timeline->record(EventKind::ReclaimNotice, {.detail = "gone in " + std::to_string(notice.count()) + " ms"});
        m_controller.drain(notice, [this] { stop(); });
    }

    ControlDependencies controllerDependencies()
    {
        return {m_registry,
                m_templates,
                m_timeline,
                m_metrics,
                platform::makeHttpLog(m_settings.platformEndpoint),
                platform::makeHttpHostDirectory(m_settings.platformEndpoint)};
    }

    /// Waits until every running request has its answer and every caller connection is closed, then stops the threads.
    net::awaitable<void> finishStop()
    {
        net::steady_timer poll(m_trafficContext);
        while (m_controller.openRequests() > 0 || m_callerServer->connections() > 0) {
            poll.expires_after(StopPollInterval);
            co_await poll.async_wait(net::as_tuple(net::use_awaitable));
        }
        spdlog::info("event=stopped name={}", m_settings.name);
        m_controlContext.stop();
        m_trafficContext.stop();
    }

    const EntrySettings m_settings;
    const std::string m_incarnation;
    net::io_context m_controlContext;
    net::io_context m_trafficContext;
    const std::shared_ptr<timeline::IHybridClock> m_clock;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const std::shared_ptr<metrics::IMetrics> m_metrics;
    const std::shared_ptr<requests::RequestRegistry> m_registry;
    const std::shared_ptr<TemplateView> m_templates;
    const std::shared_ptr<PeerView> m_peerView;
    HostController m_controller;
    const std::shared_ptr<rpc::IPeerClient> m_peerClient;
    const std::unique_ptr<rpc::IPeerServer> m_peerServer;
    ReclaimWatch m_reclaimWatch;
    TicketFrontend m_ticketFrontend;
    CallerFrontend m_callerFrontend;
    OperatorFrontend m_operatorFrontend;
    std::unique_ptr<membership::IMembership> m_membership;
    std::unique_ptr<replication::IReplicator> m_replicator;
    std::unique_ptr<http::IHttpServer> m_callerServer;
    std::unique_ptr<http::IHttpServer> m_operatorServer;
    std::unique_ptr<http::IHttpServer> m_peerHttpServer;
    std::atomic<bool> m_stopping = false;
};

}

std::unique_ptr<IEntryHost> makeEntryHost(const EntrySettings &settings, std::string &reason)
{
    std::optional<std::string> operatorToken = program::readToken(settings.operatorTokenFile, reason);
    std::optional<std::string> peerToken = operatorToken ? program::readToken(settings.peerTokenFile, reason) : std::nullopt;
    if (!peerToken) {
        return nullptr;
    }
    const std::string incarnation = randomId().substr(0, IncarnationLength);
    std::unique_ptr<EntryHost> host = std::make_unique<EntryHost>(settings, AccessTokens{std::move(*operatorToken), std::move(*peerToken)}, incarnation);
    if (!host->listen(reason)) {
        return nullptr;
    }
    return host;
}

}
