#pragma once

#include "bookings/ibookingfold.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace rosemaryshift::bookings {

/// Limits and times of the booking protocol.
struct BookingPolicy {
    std::string owner;                                     ///< This host and its incarnation, "name.incarnation".
    Duration maxWait = std::chrono::seconds(3);            ///< Longest time that a request waits for the log or for another host's outcome.
    Duration appendRetry = std::chrono::milliseconds(200); ///< Delay after a failed append before the next one.
    Duration keyWindow = std::chrono::hours(24);           ///< Least time for which a key is remembered; the log has to retain its records for as long.
    Duration clockSkew = std::chrono::minutes(1);          ///< Largest difference between the wall clocks of two hosts.
    std::uint32_t appendsPerSecond = 200;                  ///< Limit for all hosts together.
    std::size_t maxBatch = 200;                            ///< Largest number of records in one append.
    std::size_t maxAppendsInFlight = 4;                    ///< Largest number of appends of this host without an answer.
};

/// Event: a request arrived that must not run more than once.
struct BookingArrived {
    RequestId request;
    std::string key;    ///< Digest of the caller's key, its workspace and service.
    std::string digest; ///< Digest of the request.
    TimePoint deadline;
    bool ownTicket = false;         ///< The key is a ticket issued by this host's incarnation.
    std::optional<Duration> keyAge; ///< Set when the key contains its creation time.
};

/// Event: a booking record was read from the log.
struct RecordRead {
    std::uint64_t offset = 0;
    BookingRecord record;
    Duration age{0}; ///< Time since the record was created, by the wall clocks of its host and of this one.
};

/// Event: the log was read up to an offset.
struct LogRead {
    std::uint64_t oldest = 0; ///< Offset of the oldest record that the log retains.
    std::uint64_t next = 0;   ///< Offset of the next record to read.
    bool caughtUp = false;    ///< All records that the log held when this host started were read.
};

/// Event: the log dropped records before @c oldest that this host had not read.
struct LogGap {
    std::uint64_t oldest = 0;
};

/// Result of an append to the log.
enum class AppendOutcome : std::uint8_t {
    Appended,
    NotAppended, ///< No record was or will be appended.
    Unknown,     ///< The records may have been appended or may still be.
};

/// Event: an append to the log ended.
struct AppendEnded {
    std::uint64_t batch = 0; ///< Number of the batch, as in AppendRecords.
    AppendOutcome outcome = AppendOutcome::Appended;
};

/// Event: a dispatched booking ended.
struct RunEnded {
    RequestId request;
    RunState run = RunState::Unknown;
    std::optional<requests::ServiceAnswer> answer; ///< Absent when there is none or it is too large to store.
};

/// Event: the number of live entry hosts, this one included, changed.
struct HostCountChanged {
    std::uint32_t hosts = 1;
};

using BookingEvent = std::variant<BookingArrived, RecordRead, LogRead, LogGap, AppendEnded, RunEnded, HostCountChanged>;

/// Why a booking request was refused.
enum class BookingRefusal : std::uint8_t {
    KeyReused,      ///< A different request came with the same key.
    KeyExpired,     ///< The key is older than the key window.
    LogUnreachable, ///< The state of the key could not be read from the log in time.
    LogGap,         ///< The log dropped unread records that may concern the key.
    OwnerSilent,    ///< Another host has claimed the key and has not reported an outcome in time.
    OwnerReleased,  ///< Another host gave up its claim; the caller may send the request again.
    OutcomeUnknown, ///< The booking was dispatched, and its outcome is not known.
    AnswerNotKept,  ///< The booking ran; its answer was too large to store.
    DeadlinePassed, ///< The deadline passed before the booking could be dispatched.
    NotDispatched,  ///< The first request with the key was refused before it was sent to an upstream.
};

/// Action: append the records to the log; AppendEnded has to follow.
struct AppendRecords {
    std::uint64_t batch = 0;            ///< Number of the batch, unique within this host's incarnation.
    std::vector<BookingRecord> records; ///< The receiver of the action sets atMs.
};

/// Action: run the request now; RunEnded has to follow.
struct DispatchBooking {
    RequestId request;
};

/// Action: answer the request with the answer that the service gave to the booking with its key.
struct AnswerBooking {
    RequestId request;
    requests::ServiceAnswer answer;
};

/// Action: refuse the request.
struct RefuseBooking {
    RequestId request;
    BookingRefusal code = BookingRefusal::LogUnreachable;
    RunState run = RunState::Unknown;
    std::optional<Duration> retryAfter; ///< Delay after which the caller should retry; absent when no retry is advised.
};

/// Step of the booking protocol that is reported to the operators.
enum class BookingStep : std::uint8_t {
    Claimed,
    Released,
    OutcomeRecorded,
};

/// Action: report a step of the booking protocol to the operators.
struct ReportBookingStep {
    BookingStep step = BookingStep::Claimed;
    std::optional<RequestId> request;
    std::string detail;
};

using BookingAction = std::variant<AppendRecords, DispatchBooking, AnswerBooking, RefuseBooking, ReportBookingStep>;

/// Decides when a booking may run: at most once per key over all hosts. Uses no sockets, threads or clocks, so the same
/// events at the same times give the same actions. Not thread-safe.
///
/// A refusal reports "not run" only if no earlier request with the key, through any host, has run or can still run. This
/// holds because this host has the winning claim or issued the ticket, and does not dispatch under it afterwards. The
/// exception is KeyReused, which reports only that the refused request itself does not run.
class IBookingCoordinator
{
public:
    virtual ~IBookingCoordinator() = default;

    /// Queues an event, which is handled at the next tick().
    virtual void post(BookingEvent event) = 0;
    /// Handles the queued events and returns the actions due at @p now, valid until the next call. Precondition: @p now never decreases.
    virtual std::span<const BookingAction> tick(TimePoint now) = 0;
    /// Time at which the next tick() is due without a new event; nothing when only a new event can cause an action.
    [[nodiscard]] virtual std::optional<TimePoint> nextWake() const = 0;
    /// Outcome of the booking with the key digest @p key, if this host knows it.
    [[nodiscard]] virtual std::optional<Outcome> outcomeOf(std::string_view key) const = 0;
    /// Number of requests that were neither answered nor dispatched.
    [[nodiscard]] virtual std::size_t waitingRequests() const = 0;
    /// Number of records that are not confirmed to be in the log.
    [[nodiscard]] virtual std::size_t unconfirmedRecords() const = 0;
};

std::unique_ptr<IBookingCoordinator> makeBookingCoordinator(const BookingPolicy &policy);

/// Stable lower-case name of a refusal, used as error code. Thread-safe.
std::string_view name(BookingRefusal code);

}
