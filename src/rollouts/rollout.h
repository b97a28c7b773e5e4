#pragma once

#include "rollouts/evidence.h"
#include "rollouts/exposurelimit.h"
#include "rollouts/reportcodec.h"
#include "rollouts/rollouttypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::rollouts {

/// One roll-out, as this host knows it: how far it has come, what may be sent to the version, and what all hosts have seen of it. Each call passes the current
/// time. Not thread-safe.
class Rollout
{
public:
    /// @p limit: of this host. @p returns: upstreams of the version served already when the order came, as when an order takes an earlier one back; they are
    /// used at once.
    Rollout(OrderId id, Order order, const ExposureBounds &bounds, const ExposureLimit &limit, bool returns);

    [[nodiscard]] OrderId id() const;
    [[nodiscard]] const Order &order() const;
    /// Gives the same order the id that it has in a later era of the log.
    void rename(OrderId id);

    /// Notes that the order was @p age old; the largest age counts.
    void noteAge(Duration age, TimePoint now);
    /// Time since the order; nothing when it is not known.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    [[nodiscard]] State state() const;
    /// Whether the state is final and stands in the log.
    [[nodiscard]] bool recorded() const;
    /// Applies a state that the holder of the duties has decided. A final state yields to another one only if that stands in the log. Returns whether the
    /// state has changed.
    bool applyState(State state, bool isRecorded, TimePoint now);
    /// Notes that the holder with this fencing @p token was heard.
    void noteHolder(std::uint64_t token, TimePoint now);

    /// Notes the upstreams of the service that the platform lists.
    void observe(std::span<const ListedUpstream> upstreams);
    /// Notes what another host has seen. @p hostStart: one start of its process.
    void applyEvidence(std::string_view hostStart, const Evidence &evidence, TimePoint now);
    /// Compares the versions. Returns true when the version has just shown to be bad: nothing more is sent to it from then on.
    bool evaluate();

    /// Which upstreams may run a request. @p exposing: the request may be sent to the version if the bounds allow it.
    [[nodiscard]] VersionFilter filter(const RequestTraits &traits, bool exposing, TimePoint now) const;
    /// Whether a request that was chosen an upstream of @p version may still be sent there.
    [[nodiscard]] bool maySend(std::string_view version, TimePoint now) const;
    /// Counts a request that filter() exposes to the version.
    void noteExposed();
    /// Counts a request that was sent to the service.
    void noteRequest();
    /// Counts an answer that began @p time after the request was sent.
    void noteAnswer(std::string_view version, std::string_view route, Duration time);
    /// Counts an answer that failed.
    void noteFailure(std::string_view version, std::string_view instance, std::string_view route);

    /// What this host tells the others. @p holderToken: its fencing token while it holds the duties; 0 otherwise.
    [[nodiscard]] Report report(std::uint64_t holderToken, TimePoint now) const;
    /// What all hosts have seen.
    [[nodiscard]] Evidence pooled() const;
    /// Number of other hosts whose evidence was heard a short time ago.
    [[nodiscard]] std::size_t heardHosts(TimePoint now) const;
    /// What that says about the version.
    [[nodiscard]] Verdict verdict() const;
    /// Whether the version has shown to be bad.
    [[nodiscard]] bool isStopped() const;
    /// Whether upstreams of the version served before the order.
    [[nodiscard]] bool returns() const;
    /// Usable slots of the version, and of the others.
    [[nodiscard]] std::uint64_t slots() const;
    [[nodiscard]] std::uint64_t otherSlots() const;
    /// Whether the roll-out needs no more attention: the upstreams that it ends have left.
    [[nodiscard]] bool isSettled(TimePoint now) const;

    /// Time from the order on at which its outcome is due. What is left of the bound then is for the rest of the order's time, in which all requests go to the
    /// version after a completion.
    [[nodiscard]] Duration decisionTime() const;

private:
    struct HeardEvidence {
        Evidence evidence;
        TimePoint heardAt;
    };

    /// Whether the time in which the holder decides has not ended; false when the age of the order is not known.
    [[nodiscard]] bool isUndecided(TimePoint now) const;
    /// The part of the bound that a request may use; precondition: the age of the order is known.
    [[nodiscard]] ExposureUse use(const RequestTraits &traits, TimePoint now) const;
    [[nodiscard]] bool mayExpose(const RequestTraits &traits, TimePoint now) const;
    /// The upstreams that requests are exposed to at @p now; any if empty.
    [[nodiscard]] std::span<const std::string> exposedUpstreams(TimePoint now) const;
    /// The answers counted for @p version.
    AnswerCounts &counts(std::string_view version, std::string_view route);

    OrderId m_id;
    const Order m_order;
    const ExposureBounds m_bounds;
    ExposureLimit m_limit;
    const bool m_returns;
    std::optional<TimePoint> m_orderedAt;
    State m_state = State::Unknown;
    bool m_recorded = false;
    std::optional<TimePoint> m_decidedAt; ///< When the final state became known.
    std::uint64_t m_holderToken = 0;
    std::optional<TimePoint> m_holderHeard;
    bool m_stopped = false;
    bool m_observed = false;
    std::vector<std::string> m_instances; ///< Usable ones of the version, in an order that is equal on all hosts.
    bool m_versionListed = false;
    bool m_othersListed = false;
    std::uint64_t m_slots = 0;
    std::uint64_t m_otherSlots = 0;
    Evidence m_own;
    std::map<std::string, HeardEvidence, std::less<>> m_others; ///< By start of a host; kept when the host is gone, as its answers have been given.
};

}
