#include "gateway/internal/configurationfetcher.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"
#include "http/ihttpclient.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Time that a newer configuration known to a peer has to arrive from the log, before it is fetched from a peer.
constexpr std::chrono::milliseconds PeerFetchDelay{250};
/// Longest delay after a failed fetch, without jitter.
constexpr std::chrono::milliseconds MaxFetchDelay{1'600};
/// Timeout of fetching a configuration from a peer.
constexpr std::chrono::milliseconds FetchTimeout{800};

}

std::string chooseFetchSource(std::span<const std::string> candidates, const std::string &lastFailed, double fraction)
{
    std::vector<std::string> others;
    std::ranges::copy_if(candidates, std::back_inserter(others), [&lastFailed](const std::string &address) { return address != lastFailed; });
    const std::span<const std::string> choice = others.empty() ? candidates : std::span<const std::string>(others);
    return choice[static_cast<std::size_t>(fraction * static_cast<double>(choice.size()))];
}

std::chrono::milliseconds fetchDelay(unsigned int failures, double fraction)
{
    std::chrono::milliseconds delay = PeerFetchDelay;
    for (unsigned int failure = 0; failure < failures && delay < MaxFetchDelay; ++failure) {
        delay = std::min(2 * delay, MaxFetchDelay);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(delay * (0.5 + fraction));
}

ConfigurationFetcher::ConfigurationFetcher(GatewayContext &context, ConfigurationFollower &configurationFollower, const gossip::PeerRegistry &registry)
    : m_context(context)
    , m_configurationFollower(configurationFollower)
    , m_registry(registry)
{
}

void ConfigurationFetcher::update(const net::any_io_executor &executor)
{
    if (!m_fetching && m_context.configuration.version() < m_context.configuration.knownVersion()) {
        m_fetching = true;
        startTask(executor, fetchNewer());
    }
}

net::awaitable<void> ConfigurationFetcher::fetchNewer()
{
    std::string lastFailed;
    for (unsigned int failures = 0;; ++failures) {
        if (failures > 0 || m_context.configuration.version() > 0) {
            co_await pause(fetchDelay(failures, m_context.randomFraction()));
        }
        const std::vector<std::string> candidates = sources();
        if (candidates.empty()) {
            break;
        }
        const std::string source = chooseFetchSource(candidates, lastFailed, m_context.randomFraction());
        const bool fetched = co_await fetchFrom(source);
        if (fetched) {
            break;
        }
        lastFailed = source;
    }
    m_fetching = false;
}

net::awaitable<bool> ConfigurationFetcher::fetchFrom(std::string address)
{
    const TimePoint startedAt = hostNow();
    http::Request request;
    request.target = "/configuration";
    http::ClientTimeouts timeouts;
    timeouts.connect = FetchTimeout;
    timeouts.end = std::chrono::steady_clock::now() + FetchTimeout;
    http::ClientFailure failure;
    const http::Endpoint endpoint{address, m_context.settings.peerListener.port};
    const std::optional<http::Response> response = co_await http::fetch(endpoint, std::move(request), timeouts, failure);
    if (response && response->status == 200) {
        co_return m_configurationFollower.applyText(response->body, "peer", startedAt) > 0;
    }
    const std::string reason = response ? "status " + std::to_string(response->status) : failure.detail;
    m_context.eventLog.write("configuration_not_fetched", eventlog::Importance::StateChange, {{"from", address}, {"reason", reason}});
    co_return false;
}

std::vector<std::string> ConfigurationFetcher::sources() const
{
    std::vector<std::string> ofOwnZone;
    std::vector<std::string> ofOtherZones;
    for (const auto &[host, peer] : m_registry.peers()) {
        if (!peer.silent && peer.status.configuration > m_context.configuration.version()) {
            (peer.status.zone == m_context.settings.zone ? ofOwnZone : ofOtherZones).push_back(peer.status.address);
        }
    }
    return ofOwnZone.empty() ? ofOtherZones : ofOwnZone;
}

}
