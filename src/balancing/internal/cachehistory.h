#pragma once

#include "base/types.h"
#include "ports/messages.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace rosemaryshift::balancing {

/// Which prompt parts an engine was sent of late, and so is thought to keep in its cache. Not thread-safe.
class CacheHistory
{
public:
    /// The engine was sent a prompt.
    void note(std::span<const ports::PromptPart> parts, TimePoint now);
    /// Tokens at the beginning of a prompt that are thought to be cached.
    [[nodiscard]] std::uint64_t cachedTokens(std::span<const ports::PromptPart> parts, TimePoint now) const;

private:
    std::unordered_map<std::uint64_t, TimePoint> m_lastSent;
};

}
