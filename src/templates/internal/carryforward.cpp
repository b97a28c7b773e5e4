#include "templates/carryforward.h"

#include "base/text.h"

#include <algorithm>

namespace rosemaryshift::templates {

namespace {

/// A record in the oldest quarter of the retained log is treated as about to be dropped.
constexpr std::uint64_t OldestPartDivisor = 4;
/// Hexadecimal digits of the SHA-256 that form a hash value.
constexpr std::size_t HashDigits = 8;
constexpr std::uint64_t HashRange = 1ULL << (4 * HashDigits);

std::uint64_t hashOf(std::string_view text)
{
    return std::stoull(sha256Hex(text).substr(0, HashDigits), nullptr, 16);
}

}

CarryForward::CarryForward(const CarryForwardSettings &settings, std::string host)
    : m_settings(settings)
    , m_host(std::move(host))
{
}

void CarryForward::noteStated(std::string_view workspace, std::uint64_t offset, TimePoint now)
{
    m_states[std::string(workspace)] = {true, offset, now, false, {}};
}

std::vector<std::string> CarryForward::due(const ITemplateFold &fold, const LogWindow &window, std::size_t hosts, TimePoint now)
{
    std::vector<std::string> names;
    for (const std::string &workspace : fold.workspaces()) {
        WorkspaceState &state = m_states[workspace];
        if (!needsAppend(state, window, now)) {
            state.scheduled = false;
            continue;
        }
        if (!state.scheduled) {
            state.scheduled = true;
            state.appendAt = now + delay(workspace, hosts);
        }
        if (state.appendAt <= now) {
            state.appendAt = now + m_settings.delayPerHost * static_cast<std::int64_t>(hosts) + delay(workspace, hosts);
            names.push_back(workspace);
        }
    }
    return names;
}

bool CarryForward::needsAppend(const WorkspaceState &state, const LogWindow &window, TimePoint now) const
{
    if (!state.stated || state.offset < window.oldest) {
        return true;
    }
    const bool recordsDropped = window.oldest > 0;
    const bool inOldestPart = state.offset - window.oldest < (window.next - window.oldest) / OldestPartDivisor;
    return (recordsDropped && inOldestPart) || now - state.statedAt >= m_settings.maxAge;
}

Duration CarryForward::delay(std::string_view workspace, std::size_t hosts) const
{
    const Duration spread = m_settings.delayPerHost * static_cast<std::int64_t>(std::max<std::size_t>(hosts, 1));
    const std::uint64_t hash = hashOf(m_host + "/" + std::string(workspace));
    return Duration(static_cast<std::int64_t>(static_cast<std::uint64_t>(spread.count()) * hash / HashRange));
}

}
