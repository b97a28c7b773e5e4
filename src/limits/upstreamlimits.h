#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::limits {

/// What one host tells the others about the limit of an upstream.
struct LimitReport {
    std::string instance;
    std::optional<double> perSecond; ///< Requests per second that the upstream accepts; nothing when it has stopped to state a limit.
    std::uint64_t ageMs = 0;         ///< Time since the answer that said so.

    bool operator==(const LimitReport &) const = default;
};

/// Keeps the requests of all hosts together within the limits that upstreams state in their answers.
///
/// Each limit is split evenly among some of the hosts, which rendezvous hashing selects at each host without communication. It takes only so many
/// hosts that all of them may send at the same moment; the others send nothing to that upstream. A host that is silent keeps its share, so that
/// hosts which are frozen or cut off from each other do not use a share twice. The hosts tell each other the limits by LimitReport, and the latest
/// answer of an upstream holds. The current time is passed to each call. Not thread-safe.
class UpstreamLimits
{
public:
    /// Called with the id of an upstream whose limit has changed, and the new limit; nothing when it has been lifted.
    using Listener = std::function<void(const std::string &instance, std::optional<double> perSecond)>;

    explicit UpstreamLimits(Listener listener);

    /// Sets the names of this host and of all others that may be sending requests, whether they are heard or not.
    void setHosts(const std::string &own, std::vector<std::string> others, TimePoint now);
    /// Records an answer of @p instance to a request that was sent at @p sentAt. @p perSecond: the limit that it states, if any. An answer without
    /// one lifts a limit only if its request was sent after the limit was last stated, since answers overtake each other.
    void noteAnswer(const std::string &instance, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);
    /// Whether this host may send @p instance a request now.
    [[nodiscard]] bool maySend(const std::string &instance, TimePoint now);
    /// Records that this host sends @p instance a request, of whatever kind. Precondition: maySend().
    void noteSent(const std::string &instance, TimePoint now);
    /// The limit that @p instance has stated; nothing when it has none.
    [[nodiscard]] std::optional<double> perSecond(const std::string &instance) const;
    /// Number of upstreams that have a limit.
    [[nodiscard]] std::size_t limitedUpstreams() const;

    /// What to send to the other hosts, the latest first; bounded in size.
    [[nodiscard]] std::vector<LimitReport> reports(TimePoint now) const;
    /// Merges what another host has sent.
    void apply(std::span<const LimitReport> reports, TimePoint now);
    /// Drops limits that no answer has confirmed for long.
    void expire(TimePoint now);

private:
    struct Limit {
        std::optional<double> perSecond; ///< Nothing once the limit is lifted; kept for a while for the other hosts to hear of it.
        TimePoint confirmedAt;           ///< When the latest answer that said so was received.
        bool observedHere = false;       ///< This host received that answer.
        double rate = 0;                 ///< This host's share, in requests per second; 0 when it has none.
        double capacity = 0;             ///< Requests that this host may send at once.
        double level = 0;                ///< Requests that this host may send now.
        TimePoint refilledAt;
    };

    /// Sets the limit of @p instance, or lifts it, as said by an answer that was received at @p confirmedAt.
    void update(const std::string &instance, std::optional<double> perSecond, TimePoint confirmedAt, bool observedHere, TimePoint now);
    /// Recomputes this host's share of a limit.
    void updateShare(const std::string &instance, Limit &limit, bool isNew, TimePoint now) const;
    static void refill(Limit &limit, TimePoint now);

    const Listener m_listener;
    std::string m_ownHost;
    std::vector<std::string> m_otherHosts;
    std::map<std::string, Limit> m_limits;
};

}
