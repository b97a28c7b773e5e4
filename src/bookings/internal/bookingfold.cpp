#include "bookings/ibookingfold.h"

#include <map>

namespace rosemaryshift::bookings {

namespace {

class BookingFold : public IBookingFold
{
public:
    RecordVerdict apply(std::uint64_t offset, const BookingRecord &record) override
    {
        return std::visit([&](const auto &typed) { return take(offset, typed); }, record);
    }

    [[nodiscard]] const BookingRow *find(std::string_view key) const override
    {
        const std::map<std::string, BookingRow, std::less<>>::const_iterator found = m_rows.find(key);
        return found == m_rows.end() ? nullptr : &found->second;
    }

    void forget(std::uint64_t oldest) override
    {
        std::erase_if(m_rows, [oldest](const auto &entry) { return entry.second.lastOffset < oldest; });
    }

    [[nodiscard]] std::size_t size() const override
    {
        return m_rows.size();
    }

private:
    RecordVerdict take(std::uint64_t offset, const ClaimRecord &record)
    {
        const auto [entry, isNew] = m_rows.try_emplace(record.key);
        BookingRow &row = entry->second;
        // Also a claim that loses keeps the row: a host whose fold starts later may take it for the winner.
        row.lastOffset = offset;
        if (!isNew && row.state != BookingState::Released) {
            return RecordVerdict::Lost;
        }
        row.state = BookingState::Claimed;
        row.claim = record.claim;
        row.owner = record.owner;
        row.digest = record.digest;
        return RecordVerdict::Effective;
    }

    RecordVerdict take(std::uint64_t offset, const ReleaseRecord &record)
    {
        BookingRow *const row = held(record.key, record.claim);
        if (row == nullptr) {
            return RecordVerdict::Lost;
        }
        row->lastOffset = offset;
        row->state = BookingState::Released;
        return RecordVerdict::Effective;
    }

    RecordVerdict take(std::uint64_t offset, const OutcomeRecord &record)
    {
        if (record.claim.empty()) {
            return endTicket(offset, record);
        }
        BookingRow *const row = held(record.key, record.claim);
        if (row == nullptr) {
            return RecordVerdict::Lost;
        }
        end(*row, offset, record);
        return RecordVerdict::Effective;
    }

    RecordVerdict endTicket(std::uint64_t offset, const OutcomeRecord &record)
    {
        const auto [entry, isNew] = m_rows.try_emplace(record.key);
        if (!isNew) {
            return RecordVerdict::Lost;
        }
        end(entry->second, offset, record);
        return RecordVerdict::Effective;
    }

    static void end(BookingRow &row, std::uint64_t offset, const OutcomeRecord &record)
    {
        row.lastOffset = offset;
        row.state = BookingState::Ended;
        row.digest = record.outcome.digest;
        row.outcome = record.outcome;
    }

    /// The row of @p key if @p claim holds it.
    BookingRow *held(const std::string &key, const std::string &claim)
    {
        const std::map<std::string, BookingRow, std::less<>>::iterator found = m_rows.find(key);
        const bool holds = found != m_rows.end() && found->second.state == BookingState::Claimed && found->second.claim == claim;
        return holds ? &found->second : nullptr;
    }

    std::map<std::string, BookingRow, std::less<>> m_rows;
};

}

std::unique_ptr<IBookingFold> makeBookingFold()
{
    return std::make_unique<BookingFold>();
}

}
