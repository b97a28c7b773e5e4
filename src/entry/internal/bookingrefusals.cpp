#include "entry/internal/bookingrefusals.h"

#include "entry/internal/refusals.h"

namespace rosemaryshift::entry {

using bookings::BookingRefusal;
using requests::Refusal;

namespace {

StatusAndMessage statusAndMessageOf(BookingRefusal code)
{
    switch (code) {
    case BookingRefusal::KeyReused:
        return {422, "another request came under this Idempotency-Key; this one was not run"};
    case BookingRefusal::KeyExpired:
        return {409, "the Idempotency-Key is older than keys are remembered; it is not run"};
    case BookingRefusal::LogUnreachable:
        return {503, "the platform's log could not say in time who may run this key; ask again with the same key, or use a ticket from /v1/tickets"};
    case BookingRefusal::LogGap:
        return {503, "this host has missed records of the platform's log that may be about this key; ask again with the same key"};
    case BookingRefusal::OwnerSilent:
        return {503, "another host has this key and has not said how it ended; ask again with the same key"};
    case BookingRefusal::OwnerReleased:
        return {503, "another host gave this key back; ask again with the same key"};
    case BookingRefusal::OutcomeUnknown:
        return {504, "the call may have run; it is not repeated"};
    case BookingRefusal::AnswerNotKept:
        return {409, "the call ran; its answer was too large to keep"};
    case BookingRefusal::DeadlinePassed:
        return {504, "the deadline passed before the call was dispatched"};
    case BookingRefusal::NotDispatched:
        return {503, "the call was refused before it was dispatched; it may be asked again with the same key"};
    }
    return {503, ""};
}

}

Refusal refusalOf(const bookings::RefuseBooking &action)
{
    return makeRefusal(statusAndMessageOf(action.code), name(action.code), action.run, action.retryAfter);
}

}
