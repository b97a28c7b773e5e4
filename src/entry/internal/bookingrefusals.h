#pragma once

#include "bookings/ibookingcoordinator.h"
#include "requests/requesttypes.h"

namespace rosemaryshift::entry {

/// What a caller is told when its booking is given up before this host has dispatched it. Thread-safe.
requests::Refusal refusalOf(const bookings::RefuseBooking &action);

}
