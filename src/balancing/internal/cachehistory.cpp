#include "balancing/internal/cachehistory.h"

namespace rosemaryshift::balancing {

namespace {

/// How long a prompt part is assumed to stay in an engine's cache after it was last sent.
constexpr std::chrono::seconds PartLifetime{20};
/// Number of parts of one engine above which older parts are dropped; above twice this number, all are.
constexpr std::size_t MaxParts = 1'024;

}

void CacheHistory::note(std::span<const ports::PromptPart> parts, TimePoint now)
{
    if (m_lastSent.size() > MaxParts) {
        std::erase_if(m_lastSent, [now](const std::pair<const std::uint64_t, TimePoint> &part) { return now - part.second > PartLifetime / 2; });
    }
    if (m_lastSent.size() > 2 * MaxParts) {
        m_lastSent.clear();
    }
    for (const ports::PromptPart &part : parts) {
        m_lastSent[part.id] = now;
    }
}

std::uint64_t CacheHistory::cachedTokens(std::span<const ports::PromptPart> parts, TimePoint now) const
{
    std::uint64_t tokens = 0;
    for (const ports::PromptPart &part : parts) {
        const auto found = m_lastSent.find(part.id);
        if (found == m_lastSent.end() || now - found->second > PartLifetime) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

}
