#include "relay/changelog.h"

namespace rosemaryshift::relay {

namespace {

/// Upper bound on the size of the changes that are kept, in bytes; hosts that ask are seconds behind at most.
constexpr std::size_t MaxKeptBytes = 512 * 1024;
/// Size of the changes in one answer, in bytes, which goes out as one datagram.
constexpr std::size_t MaxAnsweredBytes = 16 * 1024;

std::size_t sizeOf(const Change &change)
{
    return change.key.size() + change.value.value_or("").size();
}

}

void ChangeLog::reset(ports::LogPosition end)
{
    m_beginOffset = end.offset;
    m_end = end;
    m_changes.clear();
    m_bytes = 0;
}

void ChangeLog::note(Change change)
{
    m_bytes += sizeOf(change);
    m_changes.push_back(std::move(change));
    while (m_bytes > MaxKeptBytes) {
        m_bytes -= sizeOf(m_changes.front());
        m_beginOffset = m_changes.front().offset + 1;
        m_changes.pop_front();
    }
}

void ChangeLog::advance(ports::LogPosition end)
{
    if (!m_beginOffset || end.offset < m_end.offset || end.era != m_end.era) {
        reset(end);
    }
    m_end = end;
}

std::optional<Changes> ChangeLog::from(ports::LogPosition position) const
{
    // Hosts of earlier software versions do not state the era.
    const bool sameEra = !position.era || position.era == m_end.era;
    if (!m_beginOffset || !sameEra || position.offset < *m_beginOffset || position.offset > m_end.offset) {
        return std::nullopt;
    }
    Changes result;
    result.next = m_end;
    std::size_t bytes = 0;
    for (const Change &change : m_changes) {
        if (change.offset < position.offset) {
            continue;
        }
        bytes += sizeOf(change);
        if (bytes > MaxAnsweredBytes && !result.changes.empty()) {
            result.next.offset = change.offset;
            result.more = true;
            break;
        }
        result.changes.push_back(change);
    }
    return result;
}

}
