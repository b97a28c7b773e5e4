#pragma once

#include "base/types.h"
#include "ports/messages.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace rosemaryshift::balancing {

/// The prompt parts that were recently sent to one engine and are therefore assumed to be in its cache. Not thread-safe.
class CacheHistory
{
public:
    /// Records that a prompt with these parts was sent to the engine.
    void note(std::span<const ports::PromptPart> parts, TimePoint now);
    /// Returns the number of tokens at the beginning of the prompt that are assumed to be cached.
    [[nodiscard]] std::uint64_t cachedTokens(std::span<const ports::PromptPart> parts, TimePoint now) const;

private:
    std::unordered_map<std::uint64_t, TimePoint> m_lastSent;
};

}
