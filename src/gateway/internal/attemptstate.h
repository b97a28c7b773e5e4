#pragma once

#include <cstdint>
#include <string_view>

namespace rosemaryshift::gateway {

/// What is known of whether a caller's attempt has run.
enum class RunKnowledge : std::uint8_t {
    NotOffered,  ///< No upstream was sent a byte of it.
    KnownNotRun, ///< Each upstream that was sent it has stated that it did not run it.
    Offered,     ///< An upstream may have run it.
    Running,     ///< An upstream has begun to answer.
    Answered,    ///< The caller has its final answer.
};

/// Stable name for logs. Thread-safe.
std::string_view name(RunKnowledge knowledge);

/// Follows one attempt of a caller, and is the only place that decides whether it may be refused as not run, and whether it may be offered
/// to another upstream. Not thread-safe.
class AttemptState
{
public:
    /// @p repeatable: the request may run more than once. @p maxOffers: most upstreams that it may be sent to.
    AttemptState(bool repeatable, std::uint32_t maxOffers);

    /// It is about to be sent to an upstream. Precondition: mayOffer().
    void noteOffered();
    /// The upstream was not reached, and was sent nothing. Precondition: noteOffered() came last.
    void noteNotSent();
    /// The upstream states that it did not run it.
    void noteNotRun();
    /// The upstream has begun to answer.
    void noteRunning();
    /// The caller was given its final answer.
    void noteAnswered();

    [[nodiscard]] RunKnowledge knowledge() const;
    /// Whether a refusal may say that it has not run.
    [[nodiscard]] bool mayRefuse() const;
    /// Whether another upstream may be sent it.
    [[nodiscard]] bool mayOffer() const;
    /// Upstreams that it was sent to.
    [[nodiscard]] std::uint32_t offers() const;

private:
    const bool m_repeatable;
    const std::uint32_t m_maxOffers;
    std::uint32_t m_offers = 0;
    RunKnowledge m_knowledge = RunKnowledge::NotOffered;
    RunKnowledge m_beforeOffer = RunKnowledge::NotOffered;
};

}
