#pragma once

#include "bookings/ibookingcoordinator.h"
#include "requests/requesttypes.h"

namespace rosemaryshift::entry {

/// Refusal sent to the caller of a booking that fails before this host has dispatched it. Thread-safe.
requests::Refusal refusalOf(const bookings::RefuseBooking &action);

}
