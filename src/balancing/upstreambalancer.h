#pragma once

#include "balancing/balancingtypes.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

namespace rosemaryshift::balancing {

class PeerLoad;

/// Chooses the upstream with the earliest expected first event, estimated from the requests of all hosts at each upstream, the prompt tokens that
/// are not in its cache and its measured speed. Requests whose prompts begin alike go to the same upstream while it has capacity; all hosts
/// select that upstream without communication, by rendezvous hashing. The current time is passed to each call. Not thread-safe.
///
/// What the hosts know of each other's load is as old as their reports. In a large fleet, whose reports are far apart, all hosts would send to the upstreams
/// that were the least busy some time ago, and overload them. There each host compares only a few upstreams that it picks at random.
class UpstreamBalancer
{
public:
    /// @p seed: differs between the hosts, which pick upstreams at random.
    explicit UpstreamBalancer(std::uint64_t seed = 0);
    ~UpstreamBalancer();
    UpstreamBalancer(const UpstreamBalancer &) = delete;
    UpstreamBalancer &operator=(const UpstreamBalancer &) = delete;

    /// Sets the time between two reports of another host's load.
    void setReportInterval(Duration interval);

    /// Returns the best of @p candidates that may be sent one more request; nothing when there is none.
    [[nodiscard]] std::optional<Choice> choose(const RequestProfile &profile, std::span<const Candidate> candidates, TimePoint now);

    /// Returns the time in which an average upstream of @p candidates reads the prompt tokens that all hosts have sent there and that have not led to a first
    /// event yet. Zero without candidates.
    [[nodiscard]] Duration averageWait(std::string_view service, std::span<const Candidate> candidates) const;
    /// Records that a request with @p profile was sent to the chosen upstream. Returns a number that identifies the attempt in recordFirstEvent()
    /// and end().
    std::uint64_t begin(const RequestProfile &profile, const Choice &choice, TimePoint now);
    /// Records that the first event, or the header of the answer, was received.
    void recordFirstEvent(std::uint64_t attempt, TimePoint now);
    /// Records that the attempt ended; later calls with its number have no effect.
    void end(std::uint64_t attempt, AttemptEnd result, TimePoint now);

    /// Returns this host's load on each upstream, to be sent to the other hosts.
    [[nodiscard]] std::map<std::string, Outstanding> outstanding() const;
    /// Sets another host's load on each upstream, as that host reported it at @p now. The report is used for @p lifetime.
    void setPeerOutstanding(const std::string &host, std::map<std::string, Outstanding> outstanding, TimePoint now, Duration lifetime);
    /// Drops the load of a host that is gone.
    void forgetPeer(const std::string &host);
    /// Drops what was measured of an upstream that is gone, unless requests of this host still run there.
    void forgetUpstream(const std::string &instance);

    /// Returns the uncached prompt tokens per second that this host sent to @p service, averaged over the last seconds.
    [[nodiscard]] double prefillRate(const std::string &service, TimePoint now) const;
    /// Returns the milliseconds that an average upstream of @p service takes for a thousand prompt tokens while it is nearly idle; a default
    /// before any was measured.
    [[nodiscard]] double prefillCost(const std::string &service) const;

private:
    struct Upstream;
    struct Service;
    struct Attempt;
    struct Scored;

    [[nodiscard]] Scored score(const RequestProfile &profile,
                               const Service &service,
                               const Candidate &candidate,
                               const Upstream *upstream,
                               std::string_view home,
                               TimePoint now) const;
    /// The candidates to compare: all, or in a large fleet @p home and a few picked at random among those that seem sound.
    [[nodiscard]] std::vector<const Candidate *> compared(std::span<const Candidate> candidates, std::string_view home, TimePoint now);
    /// What this host knows of an upstream; null when it knows nothing.
    [[nodiscard]] const Upstream *find(std::string_view instance) const;
    /// The load of all hosts on @p instance. @p upstream: what this host knows of it; null when it knows nothing.
    [[nodiscard]] Outstanding total(const std::string &instance, const Upstream *upstream) const;
    [[nodiscard]] double failurePenalty(const Upstream *upstream, const Service &service, TimePoint now) const;
    void updateEstimates(Attempt &attempt, TimePoint now);

    std::unordered_map<std::string, Upstream> m_upstreams;
    std::map<std::string, Service, std::less<>> m_services;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    const std::unique_ptr<PeerLoad> m_peerLoad;
    std::uint64_t m_nextAttempt = 1;
    Duration m_reportInterval{0};
    std::mt19937_64 m_random;
};

/// Returns the id of the prompt part that requests are grouped by: the last but one, as the last part belongs to one request alone. Nothing when
/// there are fewer than two parts. Thread-safe.
std::optional<std::uint64_t> sharedPart(std::span<const ports::PromptPart> parts);
/// Returns the instance of the candidate with the highest rendezvous hash for @p key; empty when there are no candidates. Thread-safe.
std::string_view rendezvousHome(std::uint64_t key, std::span<const Candidate> candidates);

}
