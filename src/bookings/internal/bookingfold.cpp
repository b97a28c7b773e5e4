#include "bookings/ibookingfold.h"

#include <map>

namespace rosemaryshift::bookings {

namespace {

class BookingFold : public IBookingFold
{
public:
    RecordEffect apply(std::uint64_t offset, const BookingRecord &record) override
    {
        return std::visit([&](const auto &typed) { return applyTyped(offset, typed); }, record);
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
    RecordEffect applyTyped(std::uint64_t offset, const ClaimRecord &record)
    {
        const auto [entry, isNew] = m_rows.try_emplace(record.key);
        BookingRow &row = entry->second;
        // An ignored claim keeps the row, too: a host that starts reading the log later may see it as the first claim.
        row.lastOffset = offset;
        if (!isNew && row.state != BookingState::Released) {
            return RecordEffect::Ignored;
        }
        row.state = BookingState::Claimed;
        row.claim = record.claim;
        row.owner = record.owner;
        row.digest = record.digest;
        return RecordEffect::Applied;
    }

    RecordEffect applyTyped(std::uint64_t offset, const ReleaseRecord &record)
    {
        BookingRow *const row = rowHeldBy(record.key, record.claim);
        if (row == nullptr) {
            return RecordEffect::Ignored;
        }
        row->lastOffset = offset;
        row->state = BookingState::Released;
        return RecordEffect::Applied;
    }

    RecordEffect applyTyped(std::uint64_t offset, const OutcomeRecord &record)
    {
        if (record.claim.empty()) {
            return applyTicketOutcome(offset, record);
        }
        BookingRow *const row = rowHeldBy(record.key, record.claim);
        if (row == nullptr) {
            return RecordEffect::Ignored;
        }
        recordOutcome(*row, offset, record);
        return RecordEffect::Applied;
    }

    RecordEffect applyTicketOutcome(std::uint64_t offset, const OutcomeRecord &record)
    {
        const auto [entry, isNew] = m_rows.try_emplace(record.key);
        if (!isNew) {
            return RecordEffect::Ignored;
        }
        recordOutcome(entry->second, offset, record);
        return RecordEffect::Applied;
    }

    static void recordOutcome(BookingRow &row, std::uint64_t offset, const OutcomeRecord &record)
    {
        row.lastOffset = offset;
        row.state = BookingState::Ended;
        row.digest = record.outcome.digest;
        row.outcome = record.outcome;
    }

    /// The row of @p key if @p claim holds the key, otherwise null.
    BookingRow *rowHeldBy(const std::string &key, const std::string &claim)
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
