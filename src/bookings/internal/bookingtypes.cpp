#include "bookings/ibookingcoordinator.h"

namespace rosemaryshift::bookings {

std::string_view name(BookingRefusal code)
{
    switch (code) {
    case BookingRefusal::KeyReused:
        return "idempotency_key_reused";
    case BookingRefusal::KeyExpired:
        return "idempotency_key_expired";
    case BookingRefusal::LogUnreachable:
        return "log_unreachable";
    case BookingRefusal::LogGap:
        return "log_gap";
    case BookingRefusal::OwnerSilent:
        return "owner_silent";
    case BookingRefusal::OwnerReleased:
        return "owner_released";
    case BookingRefusal::OutcomeUnknown:
        return "outcome_unknown";
    case BookingRefusal::AnswerNotKept:
        return "answer_not_kept";
    case BookingRefusal::DeadlinePassed:
        return "deadline_passed";
    case BookingRefusal::NotDispatched:
        return "not_dispatched";
    }
    return "";
}

}
