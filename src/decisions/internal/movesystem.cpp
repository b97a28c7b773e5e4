#include "decisions/internal/movesystem.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

/// Minimum number of tokens that an attempt must have generated before its speed is estimated.
constexpr std::uint32_t MinSpeedTokens = 8;

bool anyLeaving(const Tables &tables)
{
    return std::ranges::any_of(tables.upstreams, [](const UpstreamRow &row) { return row.state == UpstreamState::Leaving; });
}

/// Returns the latest time to move the request's running attempt; nothing when it does not have to be moved.
std::optional<TimePoint> latestMove(const Tables &tables, const RequestRow &request, const PolicySettings &settings)
{
    if (!request.running || !request.spec.idempotent) {
        return std::nullopt;
    }
    const AttemptRow &attempt = tables.attempts.at(*request.running);
    const UpstreamRow &upstream = tables.upstreams[static_cast<std::size_t>(attempt.upstream)];
    if (upstream.state != UpstreamState::Leaving || attempt.moving) {
        return std::nullopt;
    }
    return upstream.goneAt - settings.moveMargin;
}

/// Returns when the request ends at the attempt's current generation speed; nothing when the speed or the length of the answer is not known.
std::optional<TimePoint> expectedEnd(const RequestRow &request, const AttemptRow &attempt, TimePoint now)
{
    if (attempt.tokens < MinSpeedTokens || request.spec.expectedTokens == 0) {
        return std::nullopt;
    }
    const std::uint32_t done = request.spec.tokensDone + request.tokens;
    const std::uint32_t missing = request.spec.expectedTokens - std::min(request.spec.expectedTokens, done);
    return now + (now - attempt.startedAt) / attempt.tokens * missing;
}

}

std::optional<TimePoint> nextMove(const Tables &tables, const PolicySettings &settings, TimePoint now)
{
    std::optional<TimePoint> next;
    if (!anyLeaving(tables)) {
        return next;
    }
    for (const auto &[id, request] : tables.requests) {
        const std::optional<TimePoint> latest = latestMove(tables, request, settings);
        if (latest && *latest > now) {
            next = std::min(next.value_or(*latest), *latest);
        }
    }
    return next;
}

MoveSystem::MoveSystem(const PolicySettings &settings)
    : m_settings(settings)
{
}

bool MoveSystem::isDue(const Tables &tables, const RequestRow &request, TimePoint now) const
{
    const std::optional<TimePoint> latest = latestMove(tables, request, m_settings);
    if (!latest || tables.targets[static_cast<std::size_t>(request.spec.target)].live.empty()) {
        return false;
    }
    return now >= *latest || expectedEnd(request, tables.attempts.at(*request.running), now) > *latest;
}

void MoveSystem::run(Tables &tables, TickContext &context)
{
    if (!anyLeaving(tables)) {
        return;
    }
    for (const auto &[id, request] : tables.requests) {
        if (isDue(tables, request, context.now)) {
            tables.attempts.at(*request.running).moving = true;
            context.actions.push_back(CancelAttempt{id, *request.running});
        }
    }
}

}
