#pragma once

#include "balancing/balancingtypes.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace rosemaryshift::balancing {

/// Chooses upstreams by the expected time to the first event: what all hosts have under way there, the prompt tokens that are not yet
/// cached there, and the speed that was seen. Requests that share the beginning of their prompts go to the same upstreams while those
/// have room; all hosts agree on these without talking, by rendezvous hashing. Time comes in with each call. Not thread-safe.
class UpstreamBalancer
{
public:
    UpstreamBalancer();
    ~UpstreamBalancer();
    UpstreamBalancer(const UpstreamBalancer &) = delete;
    UpstreamBalancer &operator=(const UpstreamBalancer &) = delete;

    /// The best of @p candidates that may be sent one more request; nothing when there are none.
    [[nodiscard]] std::optional<Choice> choose(const RequestProfile &demand, std::span<const Candidate> candidates, TimePoint now) const;

    /// A request with @p demand was sent to the chosen upstream; returns a number for the calls below.
    std::uint64_t begin(const RequestProfile &demand, const Choice &choice, TimePoint now);
    /// The first event, or the answer's head, has come.
    void recordFirstEvent(std::uint64_t attempt, TimePoint now);
    /// The attempt has ended.
    void end(std::uint64_t attempt, AttemptEnd how, TimePoint now);

    /// What this host has under way, for the other hosts.
    [[nodiscard]] std::map<std::string, Outstanding> outstanding() const;
    /// What another host has under way.
    void setPeerOutstanding(const std::string &host, std::map<std::string, Outstanding> outstanding, TimePoint now);
    /// Forgets a host that is gone.
    void forgetPeer(const std::string &host);
    /// Forgets an upstream that is gone.
    void forgetUpstream(const std::string &instance);

    /// Prompt tokens of @p service that had to be read, a second, over the last seconds at this host.
    [[nodiscard]] double prefillRate(const std::string &service, TimePoint now) const;
    /// Milliseconds that an average upstream of @p service, not held up by others, takes for a thousand prompt tokens; a usual value
    /// before any was seen.
    [[nodiscard]] double prefillCost(const std::string &service) const;

private:
    struct Upstream;
    struct Service;
    struct Attempt;
    struct Peer;
    struct Scored;

    [[nodiscard]] Scored score(const RequestProfile &demand, const Candidate &candidate, const Upstream *upstream, std::string_view home, TimePoint now) const;
    [[nodiscard]] Outstanding total(const std::string &instance, TimePoint now) const;
    [[nodiscard]] double failurePenalty(const Upstream *upstream, const Service &service, TimePoint now) const;
    void learn(Attempt &attempt, TimePoint now);

    std::unordered_map<std::string, Upstream> m_upstreams;
    std::map<std::string, Service, std::less<>> m_services;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::map<std::string, Peer> m_peers;
    std::uint64_t m_nextAttempt = 1;
};

/// The prompt part whose requests belong together: the last one that others may share. Nothing when there is none. Thread-safe.
std::optional<std::uint64_t> sharedPart(std::span<const ports::PromptPart> parts);
/// The candidate with the highest random weight for @p key; empty when there are none. Thread-safe.
std::string_view rendezvousHome(std::uint64_t key, std::span<const Candidate> candidates);

}
