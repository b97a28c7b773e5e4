#pragma once

#include "bookings/ibookingfold.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace rosemaryshift::bookings {

struct BookingPolicy {
    std::string owner;                          ///< This host and its incarnation.
    Duration maxWait = std::chrono::seconds(3); ///< A request's wait for the log or for another owner.
    Duration appendRetry = std::chrono::milliseconds(200);
    Duration keyWindow = std::chrono::hours(24);  ///< Keys are remembered at least so long; the log has to retain as much.
    Duration clockSkew = std::chrono::minutes(1); ///< Between two hosts at most.
    std::uint32_t appendsPerSecond = 200;         ///< Of the whole fleet.
    std::size_t maxBatch = 200;                   ///< Records of one append.
    std::size_t maxAppendsInFlight = 4;
};

/// A request that may not be repeated arrived.
struct BookingArrived {
    RequestId request;
    std::string key;
    std::string digest;
    TimePoint deadline;
    bool ownTicket = false;         ///< The key is a ticket of this host's incarnation.
    std::optional<Duration> keyAge; ///< Set when the key says when it was made.
};

/// A record was read from the log.
struct RecordRead {
    std::uint64_t offset = 0;
    BookingRecord record;
    Duration age{0}; ///< Since the record was made, by the clocks of two hosts.
};

/// The log was read up to here.
struct LogRead {
    std::uint64_t oldest = 0; ///< Offset of the oldest record still kept.
    std::uint64_t next = 0;   ///< Offset to read from next.
    bool caughtUp = false;    ///< All records that stood in the log at the start were read.
};

/// Records before @c oldest were dropped before this host has read them.
struct LogGap {
    std::uint64_t oldest = 0;
};

enum class AppendOutcome : std::uint8_t {
    Appended,
    NotAppended, ///< Nothing took effect.
    Unknown,     ///< It may have taken effect, or may yet.
};

struct AppendEnded {
    std::uint64_t batch = 0;
    AppendOutcome outcome = AppendOutcome::Appended;
};

/// A dispatched booking has ended.
struct RunEnded {
    RequestId request;
    RunState run = RunState::Unknown;
    std::optional<requests::ServiceAnswer> answer; ///< Absent when there is none or it is too large to keep.
};

/// Number of live entry hosts, this one included.
struct HostCountChanged {
    std::uint32_t hosts = 1;
};

using BookingEvent = std::variant<BookingArrived, RecordRead, LogRead, LogGap, AppendEnded, RunEnded, HostCountChanged>;

enum class BookingRefusal : std::uint8_t {
    KeyReused,      ///< Another request came under the same key.
    KeyExpired,     ///< The key is older than the window in which keys are remembered.
    LogUnreachable, ///< What the log says of the key could not be learned in time.
    LogGap,         ///< The log dropped records that may be about the key.
    OwnerSilent,    ///< Another host has claimed the key and has not said how it ended.
    OwnerReleased,  ///< Another host gave its claim back; the request may come again.
    OutcomeUnknown, ///< It was dispatched, and how it ended is not known.
    AnswerNotKept,  ///< It ran; its answer was too large to keep.
    DeadlinePassed,
    NotDispatched, ///< The first request under the key was refused before it was dispatched.
};

struct AppendRecords {
    std::uint64_t batch = 0;
    std::vector<BookingRecord> records; ///< Their time is still to be set.
};

/// The request is to be run now; RunEnded has to follow.
struct DispatchBooking {
    RequestId request;
};

/// The request's answer is the one that an earlier request under the key got.
struct AnswerBooking {
    RequestId request;
    requests::ServiceAnswer answer;
};

struct RefuseBooking {
    RequestId request;
    BookingRefusal code = BookingRefusal::LogUnreachable;
    RunState run = RunState::Unknown;
    std::optional<Duration> retryAfter; ///< Set where coming back helps.
};

enum class BookingStep : std::uint8_t {
    Claimed,
    Released,
    OutcomeRecorded,
};

/// Something to tell the operators.
struct ReportBookingStep {
    BookingStep step = BookingStep::Claimed;
    std::optional<RequestId> request;
    std::string detail;
};

using BookingAction = std::variant<AppendRecords, DispatchBooking, AnswerBooking, RefuseBooking, ReportBookingStep>;

/// Decides when a booking may run: at most once a key over all hosts. Without sockets, threads or clocks: the same
/// events at the same times give the same actions. Not thread-safe.
///
/// A refusal says "not run" only where no other request under the key, through whatever host, has run or can still run
/// without the caller asking anew: this host holds the winning claim or has minted the ticket, and promises itself not
/// to dispatch under it.
class IBookingCoordinator
{
public:
    virtual ~IBookingCoordinator() = default;

    /// Takes an event in; it has its effect at the next tick.
    virtual void post(BookingEvent event) = 0;
    /// Gives the actions that follow at @p now, valid until the next call. Precondition: @p now is not before that of the last tick.
    virtual std::span<const BookingAction> tick(TimePoint now) = 0;
    /// When the next tick is due without a new event; nothing when only an event can change anything.
    [[nodiscard]] virtual std::optional<TimePoint> nextWake() const = 0;
    /// How the booking under @p key ended, if this host knows.
    [[nodiscard]] virtual std::optional<Outcome> outcomeOf(std::string_view key) const = 0;
    /// Requests without their answer that are not dispatched.
    [[nodiscard]] virtual std::size_t waitingRequests() const = 0;
    /// Records not known to stand in the log.
    [[nodiscard]] virtual std::size_t unconfirmedRecords() const = 0;
};

std::unique_ptr<IBookingCoordinator> makeBookingCoordinator(const BookingPolicy &policy);

/// Stable lower-case name, as in error codes. Thread-safe.
std::string_view name(BookingRefusal code);

}
