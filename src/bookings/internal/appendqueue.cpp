#include "bookings/internal/appendqueue.h"

#include <algorithm>
#include <iterator>

namespace rosemaryshift::bookings {

namespace {

bool isClaim(const BookingRecord &record)
{
    return std::holds_alternative<ClaimRecord>(record);
}

}

AppendQueue::AppendQueue(const BookingPolicy &policy)
    : m_policy(policy)
{
}

void AppendQueue::add(BookingRecord record)
{
    m_waiting.push_back(std::move(record));
}

void AppendQueue::dropClaim(std::string_view claim)
{
    std::erase_if(m_waiting, [claim](const BookingRecord &record) {
        const ClaimRecord *const waiting = std::get_if<ClaimRecord>(&record);
        return waiting != nullptr && waiting->claim == claim;
    });
}

void AppendQueue::setHosts(std::uint32_t hosts)
{
    m_hosts = std::max<std::uint32_t>(hosts, 1);
}

Duration AppendQueue::appendInterval() const
{
    return Duration(std::chrono::seconds(1)) * m_hosts / m_policy.appendsPerSecond;
}

std::optional<AppendRecords> AppendQueue::nextBatch(TimePoint now)
{
    if (m_waiting.empty() || now < m_notBefore || m_inFlight.size() >= m_policy.maxAppendsInFlight) {
        return std::nullopt;
    }
    const std::size_t count = std::min(m_waiting.size(), m_policy.maxBatch);
    const std::deque<BookingRecord>::iterator end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
    AppendRecords batch{m_nextBatchNumber++, {std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end)}};
    m_waiting.erase(m_waiting.begin(), end);
    m_inFlight[batch.batch] = batch.records;
    m_recordsInFlight += count;
    m_notBefore = now + appendInterval();
    return batch;
}

void AppendQueue::finishBatch(const AppendEnded &event, TimePoint now)
{
    const std::map<std::uint64_t, std::vector<BookingRecord>>::iterator found = m_inFlight.find(event.batch);
    if (found == m_inFlight.end()) {
        return;
    }
    std::vector<BookingRecord> records = std::move(found->second);
    m_inFlight.erase(found);
    m_recordsInFlight -= records.size();
    if (event.outcome == AppendOutcome::Appended) {
        return;
    }
    if (event.outcome == AppendOutcome::Unknown) {
        std::erase_if(records, isClaim);
    }
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
    m_notBefore = std::max(m_notBefore, now + m_policy.appendRetry);
}

std::optional<TimePoint> AppendQueue::nextWake() const
{
    if (m_waiting.empty() || m_inFlight.size() >= m_policy.maxAppendsInFlight) {
        return std::nullopt;
    }
    return m_notBefore;
}

std::size_t AppendQueue::size() const
{
    return m_waiting.size() + m_recordsInFlight;
}

}
