#include "rollouts/rolloutcontroller.h"

namespace rosemaryshift::rollouts {

namespace {

/// A roll-out without a decision is rolled back after this multiple of its duration.
constexpr double LongestUndecided = 1.5;
/// Usable slots of the version that are needed to complete, as a part of those of the others.
constexpr double SlotsPart = 0.5;
/// Answers of the version that are needed to complete, as a part of the requests, and the largest number needed.
constexpr double AnswersPart = 0.004;
constexpr double MaxAnswersNeeded = 20;

/// Whether the version has not shown to be sound.
bool isInDoubt(const Rollout &rollout)
{
    if (rollout.returns()) {
        return false;
    }
    const Evidence evidence = rollout.pooled();
    const double needed = std::min(MaxAnswersNeeded, static_cast<double>(evidence.requests) * AnswersPart);
    return static_cast<double>(evidence.answers()) < needed || rollout.verdict() != Verdict::Sound;
}

}

Decision RolloutController::decide(const Rollout &rollout, std::size_t hosts, TimePoint now)
{
    if (isFinal(rollout.state())) {
        return {rollout.state(), "final"};
    }
    if (rollout.isStopped()) {
        return {State::RolledBack, "bad_answers"};
    }
    const std::optional<Duration> age = rollout.age(now);
    if (!age) {
        return {State::Running, "age_unknown"};
    }
    const Duration duration = rollout.order().duration;
    if (*age < rollout.decisionTime()) {
        return {State::Running, "in_time"};
    }
    const bool mostHeard = (rollout.heardHosts(now) + 1) * 2 > hosts;
    if (*age >= duration && isInDoubt(rollout)) {
        return {State::RolledBack, "in_doubt"};
    }
    return decideAtEnd(rollout, mostHeard, *age >= std::chrono::duration_cast<Duration>(duration * LongestUndecided));
}

Decision RolloutController::decideAtEnd(const Rollout &rollout, bool mostHeard, bool overdue)
{
    const Decision undecided{overdue ? State::RolledBack : State::Running, overdue ? "overdue" : "undecided"};
    if (rollout.slots() == 0) {
        return {State::RolledBack, "no_upstreams"};
    }
    if (!mostHeard || static_cast<double>(rollout.slots()) < static_cast<double>(rollout.otherSlots()) * SlotsPart) {
        return undecided;
    }
    return isInDoubt(rollout) ? undecided : Decision{State::Complete, "sound"};
}

}
