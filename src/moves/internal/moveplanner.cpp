#include "moves/moveplanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace rosemaryshift::moves {

namespace {

/// Factor on the expected rest of a stream, whose pace may fall.
constexpr double RestFactor = 1.25;
/// A link between availability zones takes this many times as long; the plan does not know the destinations.
constexpr double ZoneFactor = 2;
/// Longest transfer time, so that times stay within the range of Duration.
constexpr double LongestTransferSeconds = 3600;

/// What a caller gains by a stream grows with its size.
std::uint64_t worth(const StreamProgress &stream)
{
    return stream.promptTokens + stream.mostTokens;
}

std::uint64_t memoryTokens(const StreamProgress &stream)
{
    return stream.promptTokens + stream.passedTokens;
}

}

MovePlanner::MovePlanner(const LinkSpec &link)
    : m_link(link)
{
}

bool MovePlanner::endsWithin(const StreamProgress &stream, Duration timeLeft)
{
    // An estimate that was exceeded says nothing about the rest.
    const bool useful = stream.expectedTokens && *stream.expectedTokens > stream.passedTokens;
    const std::uint64_t total = useful ? std::min(*stream.expectedTokens, stream.mostTokens) : stream.mostTokens;
    const std::uint64_t rest = total - std::min(total, stream.passedTokens);
    if (rest == 0) {
        return true;
    }
    if (stream.passedTokens == 0 || stream.generatingFor <= Duration::zero()) {
        return false; // No pace was seen.
    }
    const double secondsPerToken = std::chrono::duration<double>(stream.generatingFor).count() / static_cast<double>(stream.passedTokens);
    return RestFactor * secondsPerToken * static_cast<double>(rest) <= std::chrono::duration<double>(timeLeft).count();
}

Duration MovePlanner::transferTime(std::uint64_t tokens) const
{
    if (m_link.bitsPerSecond <= 0) {
        return Duration::zero();
    }
    constexpr double BitsPerByte = 8;
    const double bits = static_cast<double>(tokens) * static_cast<double>(m_link.bytesPerToken) * BitsPerByte;
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(std::min(bits / m_link.bitsPerSecond, LongestTransferSeconds)));
}

std::vector<PlannedMove> MovePlanner::plan(std::span<const StreamProgress> streams, Duration timeLeft) const
{
    std::vector<std::size_t> order(streams.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::stable_sort(order, [streams](std::size_t left, std::size_t right) { return worth(streams[left]) > worth(streams[right]); });
    std::vector<PlannedMove> moves;
    Duration busy{0};
    for (const std::size_t index : order) {
        const StreamProgress &stream = streams[index];
        if (endsWithin(stream, timeLeft)) {
            continue;
        }
        const Duration transfer = transferTime(memoryTokens(stream));
        if (busy + std::chrono::duration_cast<Duration>(transfer * ZoneFactor) >= timeLeft) {
            continue;
        }
        moves.push_back({index, busy, transfer});
        busy += transfer;
    }
    return moves;
}

}
