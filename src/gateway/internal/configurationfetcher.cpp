#include "gateway/internal/configurationfetcher.h"

#include "base/text.h"
#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/configurationtransfer.h"
#include "gateway/internal/hostclock.h"
#include "http/ihttpclient.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <algorithm>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Time that a newer configuration known to a peer has to arrive from the log, before it is fetched from a peer.
constexpr std::chrono::milliseconds PeerFetchDelay{250};
/// Longest delay after a failed fetch, without jitter.
constexpr std::chrono::milliseconds MaxFetchDelay{1'600};
/// Longest delay where readers of the log tell of a newer configuration, which does not arrive from the log then.
constexpr std::chrono::milliseconds MaxToldDelay{60};
/// Longest delay after a busy peer.
constexpr std::chrono::milliseconds MaxBusyDelay{150};
/// Timeout of connecting to a peer, and of the answer until it begins or goes on. The whole fetch may take as long as the bound on configurations.
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

ConfigurationFetcher::ConfigurationFetcher(GatewayContext &context,
                                           ConfigurationFollower &configurationFollower,
                                           const LogRelay &relay,
                                           const gossip::PeerRegistry &registry)
    : m_context(context)
    , m_configurationFollower(configurationFollower)
    , m_relay(relay)
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

void ConfigurationFetcher::noteHolder(const std::string &address, std::uint64_t version)
{
    if (version > m_context.configuration.version()) {
        m_holders[address] = version;
    }
}

net::awaitable<void> ConfigurationFetcher::fetchNewer()
{
    std::string lastFailed;
    unsigned int failures = 0;
    bool isBusy = false;
    while (true) {
        if (isBusy) {
            co_await pause(std::chrono::duration_cast<std::chrono::milliseconds>(MaxBusyDelay * m_context.randomFraction()));
        } else if (failures == 0 && m_relay.hasReader(hostNow())) {
            co_await pause(std::chrono::duration_cast<std::chrono::milliseconds>(MaxToldDelay * m_context.randomFraction()));
        } else if (failures > 0 || m_context.configuration.version() > 0) {
            co_await pause(fetchDelay(failures, m_context.randomFraction()));
        }
        std::erase_if(m_holders, [this](const auto &holder) { return holder.second <= m_context.configuration.version(); });
        const std::vector<std::string> candidates = sources();
        if (candidates.empty()) {
            break;
        }
        const std::string source = chooseFetchSource(candidates, lastFailed, m_context.randomFraction());
        const Outcome outcome = co_await fetchFrom(source);
        if (outcome == Outcome::Fetched) {
            break;
        }
        const bool wasNamed = m_holders.erase(source) > 0;
        isBusy = outcome == Outcome::Busy || (outcome == Outcome::NotNewer && wasNamed);
        failures += isBusy ? 0 : 1;
        lastFailed = source;
    }
    m_fetching = false;
}

net::awaitable<ConfigurationFetcher::Outcome> ConfigurationFetcher::fetchFrom(std::string address)
{
    const TimePoint startedAt = hostNow();
    configurations::SectionedText base = m_context.configuration.texts().current();
    http::Request request;
    request.target = std::string(ConfigurationPath) + "?" + std::string(BaseParameter) + "=" + configurations::hexadecimal(base.digest()) + "&"
        + std::string(PeerParameter) + "=" + m_context.settings.address;
    http::ClientTimeouts timeouts;
    timeouts.connect = FetchTimeout;
    timeouts.header = FetchTimeout;
    timeouts.body = FetchTimeout;
    timeouts.end = std::chrono::steady_clock::now() + std::max(m_context.settings.maxConfigurationDelay, FetchTimeout);
    http::ClientFailure failure;
    const http::Endpoint endpoint{address, m_context.settings.peerListener.port};
    std::optional<http::Response> response = co_await http::fetch(endpoint, std::move(request), timeouts, failure);
    if (response && response->status == 200) {
        const Outcome outcome = co_await apply(std::move(*response), std::move(base), startedAt);
        co_return outcome;
    }
    const std::optional<std::string_view> holders = response ? response->headers.find(HoldersHeader) : std::nullopt;
    if (holders) {
        std::vector<std::string> addresses;
        boost::algorithm::split(addresses, *holders, boost::algorithm::is_any_of(","));
        for (const std::string &holder : addresses) {
            if (!holder.empty() && holder != m_context.settings.address) {
                noteHolder(holder, m_context.configuration.knownVersion());
            }
        }
        co_return Outcome::Busy;
    }
    const std::string reason = response ? "status " + std::to_string(response->status) : failure.detail;
    m_context.eventLog.write("configuration_not_fetched", eventlog::Importance::StateChange, {{"from", address}, {"reason", reason}});
    co_return Outcome::Failed;
}

net::awaitable<ConfigurationFetcher::Outcome> ConfigurationFetcher::apply(http::Response response, configurations::SectionedText base, TimePoint readAt)
{
    const std::uint64_t versionBefore = m_context.configuration.version();
    m_context.metrics.count("rosemaryshift_configuration_bytes_total", R"(direction="received")", response.body.size());
    std::uint64_t version = 0;
    if (response.headers.find("Content-Type") == ChangeContentType) {
        std::optional<configurations::LoggedText> text = configurations::textOfBody(base, response.body);
        if (text) {
            version = co_await m_configurationFollower.apply(std::move(*text), "peer", readAt);
        }
    } else {
        version = co_await m_configurationFollower.applyText(std::move(response.body), std::nullopt, "peer", readAt);
    }
    if (version == 0) {
        m_context.eventLog.write("configuration_not_fetched", eventlog::Importance::StateChange, {{"reason", "the answer is malformed"}});
        co_return Outcome::Failed;
    }
    co_return version > versionBefore ? Outcome::Fetched : Outcome::NotNewer;
}

std::vector<std::string> ConfigurationFetcher::sources() const
{
    std::vector<std::string> ofOwnZone;
    std::vector<std::string> ofOtherZones;
    for (const auto &[address, version] : m_holders) {
        ofOwnZone.push_back(address);
    }
    for (const auto &[host, peer] : m_registry.peers()) {
        if (!peer.silent && peer.status.configuration > m_context.configuration.version() && !m_holders.contains(peer.status.address)) {
            (peer.status.zone == m_context.settings.zone ? ofOwnZone : ofOtherZones).push_back(peer.status.address);
        }
    }
    return ofOwnZone.empty() ? ofOtherZones : ofOwnZone;
}

}
