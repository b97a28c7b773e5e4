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

void ChangeLog::reset(std::uint64_t endOffset)
{
    m_beginOffset = endOffset;
    m_endOffset = endOffset;
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

void ChangeLog::advance(std::uint64_t endOffset)
{
    if (!m_beginOffset || endOffset < m_endOffset) {
        reset(endOffset);
    }
    m_endOffset = endOffset;
}

std::optional<Changes> ChangeLog::from(std::uint64_t offset) const
{
    if (!m_beginOffset || offset < *m_beginOffset || offset > m_endOffset) {
        return std::nullopt;
    }
    Changes result;
    result.nextOffset = m_endOffset;
    std::size_t bytes = 0;
    for (const Change &change : m_changes) {
        if (change.offset < offset) {
            continue;
        }
        bytes += sizeOf(change);
        if (bytes > MaxAnsweredBytes && !result.changes.empty()) {
            result.nextOffset = change.offset;
            result.more = true;
            break;
        }
        result.changes.push_back(change);
    }
    return result;
}

}
