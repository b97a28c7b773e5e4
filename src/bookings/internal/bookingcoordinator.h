#pragma once

#include "bookings/internal/appendqueue.h"
#include "bookings/internal/logcoverage.h"

#include <map>
#include <unordered_map>

namespace rosemaryshift::bookings {

/// One row for each key that this host is concerned with, and the transitions between its stages.
class BookingCoordinator : public IBookingCoordinator
{
public:
    explicit BookingCoordinator(const BookingPolicy &policy);

    void post(BookingEvent event) override;
    std::span<const BookingAction> tick(TimePoint now) override;
    [[nodiscard]] std::optional<TimePoint> nextWake() const override;
    [[nodiscard]] std::optional<Outcome> outcomeOf(std::string_view key) const override;
    [[nodiscard]] std::size_t waitingRequests() const override;
    [[nodiscard]] std::size_t unconfirmedRecords() const override;

private:
    enum class Stage : std::uint8_t {
        Starting,   ///< Waits until the log was read.
        Claiming,   ///< A claim is on its way; the log decides whether it wins.
        Following,  ///< Another host's claim holds the key.
        Dispatched, ///< The leader runs.
        Releasing,  ///< Promised not to dispatch; the log does not show it yet.
        Ended,      ///< The outcome is known here; the log does not show it yet.
    };

    struct Waiter {
        RequestId request;
        TimePoint deadline;
    };

    struct Booking {
        Stage stage = Stage::Starting;
        std::string digest;
        std::string claim; ///< Last one sent or won; empty for a ticket.
        bool ownTicket = false;
        std::optional<RequestId> leader; ///< The request that was dispatched.
        std::vector<Waiter> waiters;     ///< Requests without an answer, but for the leader.
        Outcome outcome;
        TimePoint endedAt;
    };

    using Bookings = std::map<std::string, Booking, std::less<>>;

    void apply(const BookingArrived &event);
    void apply(const RecordRead &event);
    void apply(const LogRead &event);
    void apply(const LogGap &event);
    void apply(const AppendEnded &event);
    void apply(const RunEnded &event);
    void apply(const HostCountChanged &event);

    void attach(Bookings::iterator entry, const Waiter &waiter);
    void begin(Bookings::iterator entry);
    void claim(Bookings::iterator entry);
    void dispatch(Bookings::iterator entry);
    void release(Bookings::iterator entry);
    void end(Bookings::iterator entry, const RunEnded &event);
    void claimRead(const ClaimRecord &record, RecordVerdict verdict);
    void releaseRead(const ReleaseRecord &record);
    void outcomeRead(const OutcomeRecord &record);
    void refuseLate();
    void refuseWaiter(Bookings::iterator entry, RequestId request);
    void sweep();

    [[nodiscard]] std::optional<RefuseBooking> refusalOf(const BookingArrived &event) const;
    void answer(RequestId request, const Outcome &outcome);
    void refuse(RequestId request, BookingRefusal code, RunState run, std::optional<Duration> retryAfter = std::nullopt);
    void refuseAll(Booking &booking, BookingRefusal code, RunState run, std::optional<Duration> retryAfter);
    void queueRelease(const std::string &key, const std::string &claim);
    void forgetIfIdle(Bookings::iterator entry);

    const BookingPolicy m_policy;
    const std::unique_ptr<IBookingFold> m_fold;
    AppendQueue m_queue;
    LogCoverage m_coverage;
    Bookings m_bookings;
    std::unordered_map<RequestId, std::string> m_keys; ///< Key of each waiter and leader.
    std::multimap<TimePoint, RequestId> m_timers;      ///< When each waiter is looked at again.
    std::vector<BookingEvent> m_inbox;
    std::vector<BookingAction> m_actions;
    TimePoint m_now;
    TimePoint m_sweptAt;
    std::uint64_t m_nextClaim = 1;
    std::size_t m_waiting = 0;
};

}
