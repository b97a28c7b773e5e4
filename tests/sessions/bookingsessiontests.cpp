#include "support/bookings.h"
#include "support/golden.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

/// Returns the kinds of the booking events in the timeline of one host, one per line and in order.
std::string bookingEvents(Fleet &fleet, std::size_t entryIndex)
{
    std::string text;
    for (const timeline::TimelineEvent &event : fleet.events(entryIndex)) {
        const std::string_view kind = timeline::name(event.kind);
        if (kind.starts_with("booking_")) {
            text += std::string(kind) + "\n";
        }
    }
    return text;
}

}

SCENARIO("Bookings, repetitions and refusals through two hosts match the golden file")
{
    FleetOptions options = bookingOptions();
    options.zones = {"eger"};
    options.entryHostsPerZone = 2;
    Fleet fleet(options);
    GoldenSession golden("bookings");
    const auto recordExchange = [&](const std::string &what, std::size_t entryIndex, const http::Request &request, int status) {
        golden.addComment(what);
        http::Response response;
        awaitCondition(what, [&] {
            response = exchange(fleet.entry(entryIndex).callers, request);
            return response.status == status;
        });
        golden.addExchange(request, response);
    };

    recordExchange("booking", 0, booking("pickup-7"), 200);
    recordExchange("the same again", 0, booking("pickup-7"), 200);
    awaitLogged(fleet, "booking_outcome", 1);
    recordExchange("the same through the other host", 1, booking("pickup-7"), 200);
    recordExchange("another crate under the key", 1, booking("pickup-7", "crate 8"), 422);
    recordExchange("a key that begins like a ticket", 1, booking("rst:nobody"), 400);
    unlistServices(fleet, 0);
    recordExchange("no service to run it", 0, booking("pickup-8"), 503);
    awaitLogged(fleet, "booking_release", 1);
    golden.addComment("events on the first host");
    golden.addLine(bookingEvents(fleet, 0));
    golden.compare();
    CHECK(runCountOf(fleet, "pickup-7") == 1);
    CHECK(runCountOf(fleet, "pickup-8") == 0);
}
