#include "bookings/internal/bookingcoordinator.h"

#include <algorithm>
#include <utility>

namespace rosemaryshift::bookings {

namespace {

constexpr Duration RetryAtOnce{0};
constexpr Duration RetrySoon = std::chrono::seconds(1);
constexpr Duration SweepInterval = std::chrono::minutes(1);

}

BookingCoordinator::BookingCoordinator(const BookingPolicy &policy)
    : m_policy(policy)
    , m_fold(makeBookingFold())
    , m_queue(policy)
    , m_coverage(policy)
{
}

void BookingCoordinator::post(BookingEvent event)
{
    m_inbox.push_back(std::move(event));
}

std::span<const BookingAction> BookingCoordinator::tick(TimePoint now)
{
    m_now = now;
    m_actions.clear();
    const std::vector<BookingEvent> events = std::exchange(m_inbox, {});
    for (const BookingEvent &event : events) {
        std::visit([this](const auto &typed) { apply(typed); }, event);
    }
    checkTimers();
    sweep();
    for (std::optional<AppendRecords> batch = m_queue.nextBatch(now); batch; batch = m_queue.nextBatch(now)) {
        m_actions.emplace_back(std::move(*batch));
    }
    return m_actions;
}

std::optional<TimePoint> BookingCoordinator::nextWake() const
{
    std::optional<TimePoint> wake = m_queue.nextWake();
    if (!m_timers.empty() && (!wake || m_timers.begin()->first < *wake)) {
        wake = m_timers.begin()->first;
    }
    return wake;
}

std::optional<Outcome> BookingCoordinator::outcomeOf(std::string_view key) const
{
    const Bookings::const_iterator entry = m_bookings.find(key);
    if (entry != m_bookings.end() && entry->second.stage == Stage::Ended) {
        return entry->second.outcome;
    }
    const BookingRow *const row = m_fold->find(key);
    return row != nullptr && row->state == BookingState::Ended ? std::optional<Outcome>(row->outcome) : std::nullopt;
}

std::size_t BookingCoordinator::waitingRequests() const
{
    return m_waiting;
}

std::size_t BookingCoordinator::unconfirmedRecords() const
{
    return m_queue.size();
}

void BookingCoordinator::apply(const BookingArrived &event)
{
    const std::optional<RefuseBooking> refusal = refusalOf(event);
    if (refusal) {
        m_actions.emplace_back(*refusal);
        return;
    }
    const auto [entry, isNew] = m_bookings.try_emplace(event.key);
    if (isNew) {
        entry->second.digest = event.digest;
        entry->second.ownTicket = event.ownTicket;
    }
    m_keys[event.request] = event.key;
    addWaiter(entry, {event.request, event.deadline});
}

std::optional<RefuseBooking> BookingCoordinator::refusalOf(const BookingArrived &event) const
{
    const Bookings::const_iterator known = m_bookings.find(event.key);
    const BookingRow *const row = m_fold->find(event.key);
    const bool held = row != nullptr && row->state != BookingState::Released;
    const bool reused = (known != m_bookings.end() && known->second.digest != event.digest) || (held && row->digest != event.digest);
    if (reused) {
        return RefuseBooking{event.request, BookingRefusal::KeyReused, RunState::NotRun, std::nullopt};
    }
    if (known != m_bookings.end() || (row != nullptr && row->state == BookingState::Ended)) {
        return std::nullopt;
    }
    if (event.keyAge && *event.keyAge > m_policy.keyWindow) {
        return RefuseBooking{event.request, BookingRefusal::KeyExpired, RunState::Unknown, std::nullopt};
    }
    if (!event.ownTicket && m_coverage.caughtUp() && !m_coverage.coversKeyWindow(m_now)) {
        return RefuseBooking{event.request, BookingRefusal::LogGap, RunState::Unknown, RetrySoon};
    }
    return std::nullopt;
}

void BookingCoordinator::addWaiter(Bookings::iterator entry, const Waiter &waiter)
{
    Booking &booking = entry->second;
    if (booking.stage == Stage::Ended) {
        answer(waiter.request, booking.outcome);
        return;
    }
    booking.waiters.push_back(waiter);
    ++m_waiting;
    const bool runs = booking.stage == Stage::Dispatched;
    m_timers.emplace(runs ? waiter.deadline : std::min(waiter.deadline, m_now + m_policy.maxWait), waiter.request);
    if (booking.stage == Stage::Starting) {
        begin(entry);
    }
}

void BookingCoordinator::begin(Bookings::iterator entry)
{
    Booking &booking = entry->second;
    const BookingRow *const row = m_fold->find(entry->first);
    if (row != nullptr && row->state == BookingState::Ended) {
        for (const Waiter &waiter : std::exchange(booking.waiters, {})) {
            --m_waiting;
            answer(waiter.request, row->outcome);
        }
        m_bookings.erase(entry);
        return;
    }
    if (booking.ownTicket) {
        dispatch(entry);
        return;
    }
    if (row != nullptr && row->state == BookingState::Claimed) {
        booking.stage = Stage::Following;
        return;
    }
    if (m_coverage.caughtUp() && m_coverage.coversKeyWindow(m_now)) {
        claim(entry);
    }
}

void BookingCoordinator::claim(Bookings::iterator entry)
{
    Booking &booking = entry->second;
    booking.stage = Stage::Claiming;
    booking.claim = m_policy.owner + ":" + std::to_string(m_nextClaimNumber++);
    m_queue.add(ClaimRecord{entry->first, booking.claim, m_policy.owner, booking.digest, 0});
}

/// Dispatches the first waiter whose deadline has not passed, or gives up the key when there is none.
/// Precondition: this host holds the key, and nothing was dispatched under its claim or ticket.
void BookingCoordinator::dispatch(Bookings::iterator entry)
{
    Booking &booking = entry->second;
    const std::vector<Waiter>::iterator inTime = std::ranges::find_if(booking.waiters, [this](const Waiter &waiter) { return m_now < waiter.deadline; });
    if (inTime == booking.waiters.end()) {
        refuseAll(booking, BookingRefusal::DeadlinePassed, RunState::NotRun, std::nullopt);
        release(entry);
        return;
    }
    // The waiters before it are past their deadline. checkTimers() refuses them with the run state Unknown, since the booking now runs.
    booking.stage = Stage::Dispatched;
    booking.leader = inTime->request;
    booking.waiters.erase(inTime);
    --m_waiting;
    m_actions.emplace_back(DispatchBooking{*booking.leader});
}

void BookingCoordinator::release(Bookings::iterator entry)
{
    if (entry->second.ownTicket) {
        m_bookings.erase(entry);
        return;
    }
    entry->second.stage = Stage::Releasing;
    queueRelease(entry->first, entry->second.claim);
}

void BookingCoordinator::queueRelease(const std::string &key, const std::string &claim)
{
    m_queue.add(ReleaseRecord{key, claim, 0});
    m_actions.emplace_back(ReportBookingStep{BookingStep::Released, std::nullopt, "claim " + claim});
}

void BookingCoordinator::apply(const RunEnded &event)
{
    const std::unordered_map<RequestId, std::string>::iterator key = m_keys.find(event.request);
    const Bookings::iterator entry = key == m_keys.end() ? m_bookings.end() : m_bookings.find(key->second);
    if (entry == m_bookings.end() || entry->second.leader != event.request) {
        return;
    }
    m_keys.erase(key);
    entry->second.leader.reset();
    finishRun(entry, event);
}

void BookingCoordinator::finishRun(Bookings::iterator entry, const RunEnded &event)
{
    Booking &booking = entry->second;
    if (event.run == RunState::NotRun) {
        refuseAll(booking, BookingRefusal::NotDispatched, RunState::NotRun, RetrySoon);
        release(entry);
        return;
    }
    booking.stage = Stage::Ended;
    booking.outcome = {booking.digest, event.run, event.answer};
    booking.endedAt = m_now;
    for (const Waiter &waiter : std::exchange(booking.waiters, {})) {
        --m_waiting;
        answer(waiter.request, booking.outcome);
    }
    m_queue.add(OutcomeRecord{entry->first, booking.claim, booking.outcome, 0});
    m_actions.emplace_back(ReportBookingStep{BookingStep::OutcomeRecorded, event.request, event.run == RunState::Ran ? "ran" : "unknown"});
}

void BookingCoordinator::apply(const RecordRead &event)
{
    m_coverage.noteRecord(event.offset, event.age, m_now);
    const RecordEffect effect = m_fold->apply(event.offset, event.record);
    if (const ClaimRecord *const claimed = std::get_if<ClaimRecord>(&event.record)) {
        handleClaim(*claimed, effect);
    } else if (const ReleaseRecord *const released = std::get_if<ReleaseRecord>(&event.record); released != nullptr && effect == RecordEffect::Applied) {
        handleRelease(*released);
    } else if (const OutcomeRecord *const ended = std::get_if<OutcomeRecord>(&event.record); ended != nullptr && effect == RecordEffect::Applied) {
        handleOutcome(*ended);
    }
}

void BookingCoordinator::handleClaim(const ClaimRecord &record, RecordEffect effect)
{
    const Bookings::iterator entry = m_bookings.find(record.key);
    const bool isAwaited = entry != m_bookings.end() && entry->second.stage == Stage::Claiming && entry->second.digest == record.digest;
    if (record.owner == m_policy.owner && effect == RecordEffect::Applied) {
        if (!isAwaited) {
            queueRelease(record.key, record.claim);
            return;
        }
        m_queue.dropClaim(entry->second.claim);
        entry->second.claim = record.claim;
        m_actions.emplace_back(ReportBookingStep{BookingStep::Claimed, entry->second.waiters.front().request, "claim " + record.claim});
        dispatch(entry);
        return;
    }
    if (entry == m_bookings.end() || entry->second.stage != Stage::Claiming) {
        return;
    }
    if (effect == RecordEffect::Applied || record.claim == entry->second.claim) {
        m_queue.dropClaim(entry->second.claim);
        entry->second.stage = Stage::Following;
    }
}

void BookingCoordinator::handleRelease(const ReleaseRecord &record)
{
    const Bookings::iterator entry = m_bookings.find(record.key);
    if (entry == m_bookings.end()) {
        return;
    }
    Booking &booking = entry->second;
    if (booking.stage == Stage::Following) {
        // The owner may have refused a request as "not run" after these waiters arrived. No request that arrived before such a refusal may run,
        // so the waiters do not claim the key; a new request may.
        refuseAll(booking, BookingRefusal::OwnerReleased, RunState::Unknown, RetryAtOnce);
        m_bookings.erase(entry);
        return;
    }
    if (booking.stage != Stage::Releasing || booking.claim != record.claim) {
        return;
    }
    if (booking.waiters.empty()) {
        m_bookings.erase(entry);
        return;
    }
    // The waiters came after this host gave up its claim, so they are new requests and may claim the key again.
    booking.stage = Stage::Starting;
    begin(entry);
}

void BookingCoordinator::handleOutcome(const OutcomeRecord &record)
{
    const Bookings::iterator entry = m_bookings.find(record.key);
    if (entry == m_bookings.end() || entry->second.stage == Stage::Dispatched) {
        return;
    }
    for (const Waiter &waiter : std::exchange(entry->second.waiters, {})) {
        --m_waiting;
        answer(waiter.request, record.outcome);
    }
    m_bookings.erase(entry);
}

void BookingCoordinator::apply(const LogRead &event)
{
    m_coverage.noteRead(event, m_now);
    for (Bookings::iterator entry = m_bookings.begin(); entry != m_bookings.end();) {
        const Bookings::iterator current = entry++;
        if (current->second.stage == Stage::Starting) {
            begin(current);
        }
    }
}

void BookingCoordinator::apply(const LogGap &event)
{
    m_coverage.noteGap(event);
    for (Bookings::iterator entry = m_bookings.begin(); entry != m_bookings.end();) {
        const Bookings::iterator current = entry++;
        const Stage stage = current->second.stage;
        if (stage != Stage::Claiming && stage != Stage::Following && stage != Stage::Releasing) {
            continue;
        }
        if (stage == Stage::Claiming) {
            queueRelease(current->first, current->second.claim);
        }
        refuseAll(current->second, BookingRefusal::LogGap, RunState::Unknown, RetrySoon);
        m_bookings.erase(current);
    }
}

void BookingCoordinator::apply(const AppendEnded &event)
{
    m_queue.finishBatch(event, m_now);
}

void BookingCoordinator::apply(const HostCountChanged &event)
{
    m_queue.setHosts(event.hosts);
}

void BookingCoordinator::checkTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
        const RequestId request = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        const std::unordered_map<RequestId, std::string>::const_iterator key = m_keys.find(request);
        const Bookings::iterator entry = key == m_keys.end() ? m_bookings.end() : m_bookings.find(key->second);
        if (entry != m_bookings.end() && entry->second.leader != request) {
            refuseWaiter(entry, request);
        }
    }
}

void BookingCoordinator::refuseWaiter(Bookings::iterator entry, RequestId request)
{
    Booking &booking = entry->second;
    const std::vector<Waiter>::iterator waiter = std::ranges::find(booking.waiters, request, &Waiter::request);
    if (waiter == booking.waiters.end()) {
        return;
    }
    if (booking.stage == Stage::Dispatched && m_now < waiter->deadline) {
        m_timers.emplace(waiter->deadline, request);
        return;
    }
    booking.waiters.erase(waiter);
    --m_waiting;
    switch (booking.stage) {
    case Stage::Dispatched:
    case Stage::Ended:
        refuse(request, BookingRefusal::OutcomeUnknown, RunState::Unknown, RetrySoon);
        break;
    case Stage::Following:
        refuse(request, BookingRefusal::OwnerSilent, RunState::Unknown, RetrySoon);
        break;
    case Stage::Releasing: // The release may already be in the log, and another host may have run the booking since.
    case Stage::Starting:
    case Stage::Claiming:
        refuse(request, BookingRefusal::LogUnreachable, RunState::Unknown, RetrySoon);
        break;
    }
    eraseIfIdle(entry);
}

void BookingCoordinator::eraseIfIdle(Bookings::iterator entry)
{
    const Stage stage = entry->second.stage;
    const bool idle = stage == Stage::Starting || stage == Stage::Claiming || stage == Stage::Following;
    if (!idle || !entry->second.waiters.empty()) {
        return;
    }
    // A claim that was sent may still win; handleClaim() releases it then.
    m_queue.dropClaim(entry->second.claim);
    m_bookings.erase(entry);
}

void BookingCoordinator::sweep()
{
    if (m_now < m_sweptAt + SweepInterval) {
        return;
    }
    m_sweptAt = m_now;
    std::erase_if(m_bookings, [this](const auto &entry) {
        return entry.second.stage == Stage::Ended && entry.second.endedAt + m_policy.keyWindow + m_policy.clockSkew < m_now;
    });
    m_fold->forget(m_coverage.forgetBefore(m_now));
}

void BookingCoordinator::answer(RequestId request, const Outcome &outcome)
{
    if (outcome.run != RunState::Ran) {
        refuse(request, BookingRefusal::OutcomeUnknown, RunState::Unknown);
        return;
    }
    if (!outcome.answer) {
        refuse(request, BookingRefusal::AnswerNotKept, RunState::Ran);
        return;
    }
    m_keys.erase(request);
    m_actions.emplace_back(AnswerBooking{request, *outcome.answer});
}

void BookingCoordinator::refuse(RequestId request, BookingRefusal code, RunState run, std::optional<Duration> retryAfter)
{
    m_keys.erase(request);
    m_actions.emplace_back(RefuseBooking{request, code, run, retryAfter});
}

void BookingCoordinator::refuseAll(Booking &booking, BookingRefusal code, RunState run, std::optional<Duration> retryAfter)
{
    for (const Waiter &waiter : std::exchange(booking.waiters, {})) {
        --m_waiting;
        refuse(waiter.request, code, run, retryAfter);
    }
}

std::unique_ptr<IBookingCoordinator> makeBookingCoordinator(const BookingPolicy &policy)
{
    return std::make_unique<BookingCoordinator>(policy);
}

}
