#include "templates/carryforward.h"

#include "base/text.h"

#include <algorithm>

namespace rosemaryshift::templates {

namespace {

/// A record in the oldest part of the window, one in so many records, is about to be dropped.
constexpr std::uint64_t OldestPart = 4;
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
    m_rows[std::string(workspace)] = {true, offset, now, false, {}};
}

std::vector<std::string> CarryForward::due(const ITemplateFold &fold, const LogWindow &window, std::size_t hosts, TimePoint now)
{
    std::vector<std::string> names;
    for (const std::string &workspace : fold.workspaces()) {
        Row &row = m_rows[workspace];
        if (!needed(row, window, now)) {
            row.scheduled = false;
            continue;
        }
        if (!row.scheduled) {
            row.scheduled = true;
            row.appendAt = now + delay(workspace, hosts);
        }
        if (row.appendAt <= now) {
            row.appendAt = now + m_settings.delayPerHost * static_cast<std::int64_t>(hosts) + delay(workspace, hosts);
            names.push_back(workspace);
        }
    }
    return names;
}

bool CarryForward::needed(const Row &row, const LogWindow &window, TimePoint now) const
{
    if (!row.stated || row.offset < window.oldest) {
        return true;
    }
    const bool dropsBegan = window.oldest > 0;
    const bool inOldestPart = row.offset - window.oldest < (window.next - window.oldest) / OldestPart;
    return (dropsBegan && inOldestPart) || now - row.since >= m_settings.maxAge;
}

Duration CarryForward::delay(std::string_view workspace, std::size_t hosts) const
{
    const Duration spread = m_settings.delayPerHost * static_cast<std::int64_t>(std::max<std::size_t>(hosts, 1));
    const std::uint64_t share = hashOf(m_host + "/" + std::string(workspace));
    return Duration(static_cast<std::int64_t>(static_cast<std::uint64_t>(spread.count()) * share / HashRange));
}

}
