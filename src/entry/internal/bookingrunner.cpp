#include "entry/internal/bookingrunner.h"

#include "base/coretime.h"
#include "base/text.h"
#include "bookings/bookingkeys.h"
#include "entry/internal/bookingrefusals.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using bookings::AppendOutcome;
using bookings::BookingRecord;
using requests::RequestRecord;
using timeline::EventKind;

namespace {

/// Transcript writer id of stored answers, which no attempt of this host received; attempt ids start at 1.
constexpr AttemptId StoredAnswerAttempt{0};
/// Largest log record with an answer, in bytes; larger answers are not stored.
constexpr std::size_t MaxStoredAnswerBytes = 8 * 1024;

Duration ageOf(std::int64_t createdAtMs)
{
    return std::chrono::milliseconds(timeline::systemWallMs() - createdAtMs);
}

/// Returns @p answer if the log can store it: the record is small enough and survives the round trip through JSON unchanged.
std::optional<requests::ServiceAnswer> storableAnswer(const requests::ServiceAnswer &answer)
{
    bookings::OutcomeRecord record;
    record.outcome.run = RunState::Ran;
    record.outcome.answer = answer;
    const std::string text = bookings::toRecord(record);
    const std::optional<BookingRecord> readBack = text.size() <= MaxStoredAnswerBytes ? bookings::bookingFromRecord(text) : std::nullopt;
    const bookings::OutcomeRecord *const kept = readBack ? std::get_if<bookings::OutcomeRecord>(&*readBack) : nullptr;
    if (kept == nullptr || !kept->outcome.answer || kept->outcome.answer->body != answer.body || kept->outcome.answer->headers != answer.headers) {
        return std::nullopt;
    }
    return answer;
}

EventKind kindOf(bookings::BookingStep step)
{
    switch (step) {
    case bookings::BookingStep::Claimed:
        return EventKind::BookingClaimed;
    case bookings::BookingStep::Released:
        return EventKind::BookingReleased;
    case bookings::BookingStep::OutcomeRecorded:
        return EventKind::BookingOutcome;
    }
    return EventKind::BookingOutcome;
}

AppendOutcome appendOutcome(const platform::PlatformFailure &failure)
{
    return failure.error == platform::PlatformError::Unreachable ? AppendOutcome::NotAppended : AppendOutcome::Unknown;
}

}

BookingRunner::BookingRunner(net::io_context &control, BookingDependencies dependencies, const bookings::BookingPolicy &policy, DispatchCallback dispatch)
    : m_context(control)
    , m_dependencies(std::move(dependencies))
    , m_owner(policy.owner)
    , m_dispatch(std::move(dispatch))
    , m_coordinator(bookings::makeBookingCoordinator(policy))
    , m_wakeTimer(control, [this] { tick(); })
{
}

void BookingRunner::run(bookings::BookingEvent event)
{
    m_coordinator->post(std::move(event));
    tick();
}

void BookingRunner::tick()
{
    for (const bookings::BookingAction &action : m_coordinator->tick(coreNow())) {
        std::visit([this](const auto &typed) { perform(typed); }, action);
    }
    m_pendingCount = m_coordinator->waitingRequests() + (m_logWritable ? m_coordinator->unconfirmedRecords() : 0);
    m_wakeTimer.arm(m_coordinator->nextWake());
}

void BookingRunner::accept(const RecordPtr &record)
{
    const requests::RequestSpec &spec = record->spec;
    m_dependencies.telemetry.arrived(*record);
    const std::optional<bookings::Ticket> ticket = bookings::parseTicket(spec.idempotencyKey);
    if (ticket && ticket->owner != m_owner) {
        perform(bookings::RefuseBooking{record->number, bookings::BookingRefusal::OwnerSilent, RunState::Unknown, std::nullopt});
        return;
    }
    bookings::BookingArrived event;
    event.request = record->number;
    event.key = bookings::keyDigest(spec);
    event.digest = bookings::requestDigest(spec);
    event.deadline = coreTime(record->arrivedAt + spec.deadline);
    event.ownTicket = ticket.has_value();
    const std::optional<std::int64_t> createdAtMs = bookings::keyCreatedAtMs(spec.idempotencyKey);
    if (createdAtMs) {
        event.keyAge = ageOf(*createdAtMs);
    }
    run(std::move(event));
}

void BookingRunner::handleRunEnded(const RequestRecord &record, RunState run)
{
    bookings::RunEnded event{record.number, run, std::nullopt};
    const requests::TranscriptView view = record.transcript.view(0);
    if (view.state == requests::TranscriptState::Complete) {
        event.run = RunState::Ran;
        event.answer = storableAnswer(view.answer);
    }
    this->run(std::move(event));
}

bool BookingRunner::handleRecord(const platform::LogRecord &record)
{
    std::optional<BookingRecord> read = bookings::bookingFromRecord(record.data);
    if (!read) {
        return false;
    }
    const Duration age = ageOf(bookings::createdAtMs(*read));
    run(bookings::RecordRead{record.offset, std::move(*read), age});
    return true;
}

void BookingRunner::handleLogRead(const bookings::LogRead &read)
{
    run(read);
}

void BookingRunner::handleLogGap(std::uint64_t oldest)
{
    run(bookings::LogGap{oldest});
}

void BookingRunner::setEntryHostCount(std::uint32_t hosts)
{
    run(bookings::HostCountChanged{hosts});
}

std::optional<bookings::Outcome> BookingRunner::outcomeOf(std::string_view key) const
{
    return m_coordinator->outcomeOf(key);
}

std::size_t BookingRunner::pendingCount() const
{
    return m_pendingCount;
}

void BookingRunner::perform(const bookings::AppendRecords &action)
{
    std::vector<std::string> records;
    for (BookingRecord record : action.records) {
        std::visit([](auto &typed) { typed.atMs = timeline::systemWallMs(); }, record);
        records.push_back(bookings::toRecord(record));
    }
    net::co_spawn(m_context, append(action.batch, std::move(records)), net::detached);
}

net::awaitable<void> BookingRunner::append(std::uint64_t batch, std::vector<std::string> records)
{
    platform::PlatformFailure failure;
    const std::optional<std::uint64_t> offset = co_await m_dependencies.log->append(std::move(records), failure);
    m_logWritable = offset.has_value();
    run(bookings::AppendEnded{batch, offset ? AppendOutcome::Appended : appendOutcome(failure)});
}

void BookingRunner::perform(const bookings::DispatchBooking &action)
{
    m_dispatch(m_dependencies.registry->find(action.request));
}

void BookingRunner::perform(const bookings::AnswerBooking &action)
{
    const RecordPtr record = m_dependencies.registry->find(action.request);
    m_dependencies.telemetry.replayed(*record);
    record->transcript.open(StoredAnswerAttempt, 0);
    record->transcript.finish(StoredAnswerAttempt, action.answer);
    m_dependencies.registry->markFinished(*record);
}

void BookingRunner::perform(const bookings::RefuseBooking &action)
{
    const RecordPtr record = m_dependencies.registry->find(action.request);
    m_dependencies.telemetry.refused(*record, bookings::name(action.code), action.run);
    record->transcript.refuse(refusalOf(action));
    m_dependencies.registry->markFinished(*record);
}

void BookingRunner::perform(const bookings::ReportBookingStep &action)
{
    const RecordPtr record = action.request ? m_dependencies.registry->find(*action.request) : nullptr;
    m_dependencies.timeline->record(kindOf(action.step), {.request = record ? record->id : std::string(), .detail = action.detail});
}

}
