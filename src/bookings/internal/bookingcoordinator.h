#pragma once

#include "bookings/internal/appendqueue.h"
#include "bookings/internal/logcoverage.h"

#include <map>
#include <unordered_map>

namespace rosemaryshift::bookings {

/// Keeps the stage of each booking that this host is waiting for or running, and the requests that wait for its answer.
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
    /// Stage of a booking on this host.
    enum class Stage : std::uint8_t {
        Starting,   ///< Waiting until the log was read completely.
        Claiming,   ///< A claim is queued or sent; its place in the log decides whether it wins.
        Following,  ///< Another host's claim holds the key; waiting for its outcome.
        Dispatched, ///< The leader was dispatched and has not ended.
        Releasing,  ///< This host has given up its claim; its release was not read from the log yet.
        Ended,      ///< The outcome is known; its record was not read from the log yet.
    };

    /// A request that waits for the outcome of a booking.
    struct Waiter {
        RequestId request;
        TimePoint deadline;
    };

    /// A booking and the requests with its key on this host.
    struct Booking {
        Stage stage = Stage::Starting;
        std::string digest;              ///< Digest of the request.
        std::string claim;               ///< Id of the last claim that was sent or has won; empty for a ticket.
        bool ownTicket = false;          ///< The key is a ticket issued by this host's incarnation.
        std::optional<RequestId> leader; ///< The request that was dispatched and has not ended.
        std::vector<Waiter> waiters;     ///< Requests without an answer, except the leader.
        Outcome outcome;
        TimePoint endedAt; ///< When the stage became Ended.
    };

    /// Bookings by key digest.
    using Bookings = std::map<std::string, Booking, std::less<>>;

    void apply(const BookingArrived &event);
    void apply(const RecordRead &event);
    void apply(const LogRead &event);
    void apply(const LogGap &event);
    void apply(const AppendEnded &event);
    void apply(const RunEnded &event);
    void apply(const HostCountChanged &event);

    void addWaiter(Bookings::iterator entry, const Waiter &waiter);
    /// Takes the next step for a booking in the stage Starting: answers its waiters, dispatches it, follows another host's claim
    /// or claims the key. Does not claim the key until this host has read all log records of the key window.
    void begin(Bookings::iterator entry);
    void claim(Bookings::iterator entry);
    void dispatch(Bookings::iterator entry);
    /// Gives up this host's right to run a booking: drops it if its key is a ticket, otherwise queues a release of the claim.
    void release(Bookings::iterator entry);
    void finishRun(Bookings::iterator entry, const RunEnded &event);
    void handleClaim(const ClaimRecord &record, RecordEffect effect);
    void handleRelease(const ReleaseRecord &record);
    void handleOutcome(const OutcomeRecord &record);
    void checkTimers();
    /// Refuses a waiter whose wait is over. A waiter of a dispatched booking may wait until its deadline.
    void refuseWaiter(Bookings::iterator entry, RequestId request);
    /// Once per SweepInterval, drops ended bookings and log records that are older than the key window.
    void sweep();

    [[nodiscard]] std::optional<RefuseBooking> refusalOf(const BookingArrived &event) const;
    void answer(RequestId request, const Outcome &outcome);
    void refuse(RequestId request, BookingRefusal code, RunState run, std::optional<Duration> retryAfter = std::nullopt);
    void refuseAll(Booking &booking, BookingRefusal code, RunState run, std::optional<Duration> retryAfter);
    void queueRelease(const std::string &key, const std::string &claim);
    /// Drops a booking that has no waiters and has not been dispatched or released.
    void eraseIfIdle(Bookings::iterator entry);

    const BookingPolicy m_policy;
    const std::unique_ptr<IBookingFold> m_fold;
    AppendQueue m_queue;
    LogCoverage m_coverage;
    Bookings m_bookings;
    std::unordered_map<RequestId, std::string> m_keys; ///< Key digest of each waiter and leader.
    std::multimap<TimePoint, RequestId> m_timers;      ///< Next time at which each waiter is checked for a refusal.
    std::vector<BookingEvent> m_inbox;                 ///< Events for the next tick.
    std::vector<BookingAction> m_actions;
    TimePoint m_now;
    TimePoint m_sweptAt;
    std::uint64_t m_nextClaimNumber = 1;
    std::size_t m_waiting = 0; ///< Number of waiters of all bookings.
};

}
