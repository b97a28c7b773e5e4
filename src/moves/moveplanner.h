#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace rosemaryshift::moves {

/// How far a stream has come.
struct StreamProgress {
    std::uint64_t promptTokens = 0;
    std::uint64_t passedTokens = 0;              ///< Tokens that were passed on to the caller.
    std::uint64_t mostTokens = 0;                ///< Most tokens that the stream may have.
    std::optional<std::uint64_t> expectedTokens; ///< The caller's estimate of the stream's tokens.
    Duration generatingFor{0};                   ///< Time since the first event.
};

/// What a link between two upstreams carries.
struct LinkSpec {
    std::uint64_t bytesPerToken = 0;
    double bitsPerSecond = 0; ///< 0 when not known; copies are then assumed to take no time.
};

/// A stream to move.
struct PlannedMove {
    std::size_t stream = 0;   ///< Index of the stream.
    Duration startsAfter{0};  ///< Time until the link has carried the moves before it.
    Duration transferTime{0}; ///< Time that the link takes for its memory.
};

/// Decides which streams at an upstream that leaves are moved to other upstreams. Moving memory costs the fleet something, so that only those streams are moved
/// that would be lost. Immutable, hence thread-safe.
class MovePlanner
{
public:
    explicit MovePlanner(const LinkSpec &link);

    /// The streams to move now, the worthiest first, when their upstream leaves in @p timeLeft: those that do not end by then at the pace seen so far. Streams
    /// whose memory the link cannot carry in time, beside that of the worthier ones, are left out. A stream that is not moved now may be at a later call.
    [[nodiscard]] std::vector<PlannedMove> plan(std::span<const StreamProgress> streams, Duration timeLeft) const;
    /// Whether the stream is expected to end within @p timeLeft, with a margin.
    [[nodiscard]] static bool endsWithin(const StreamProgress &stream, Duration timeLeft);
    /// Time that a link within an availability zone takes for the memory of @p tokens.
    [[nodiscard]] Duration transferTime(std::uint64_t tokens) const;

private:
    const LinkSpec m_link;
};

}
