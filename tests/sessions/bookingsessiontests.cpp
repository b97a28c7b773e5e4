#include "support/bookings.h"
#include "support/golden.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

/// Kinds of the events about bookings on one host, in their order.
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

SCENARIO("A session of bookings through two hosts")
{
    FleetOptions options = bookingOptions();
    options.zones = {"eger"};
    options.entryHostsPerZone = 2;
    Fleet fleet(options);
    GoldenSession golden("bookings");
    const auto play = [&](const std::string &what, std::size_t entryIndex, const http::Request &request, int status) {
        golden.say(what);
        http::Response response;
        awaitCondition(what, [&] {
            response = exchange(fleet.entry(entryIndex).callers, request);
            return response.status == status;
        });
        golden.add(request, response);
    };

    play("booking", 0, booking("pickup-7"), 200);
    play("the same again", 0, booking("pickup-7"), 200);
    awaitLogged(fleet, "booking_outcome", 1);
    play("the same through the other host", 1, booking("pickup-7"), 200);
    play("another crate under the key", 1, booking("pickup-7", "crate 8"), 422);
    play("a key that begins like a ticket", 1, booking("rst:nobody"), 400);
    hideServices(fleet, 0);
    play("no service to run it", 0, booking("pickup-8"), 503);
    awaitLogged(fleet, "booking_release", 1);
    golden.say("events on the first host");
    golden.addLine(bookingEvents(fleet, 0));
    golden.compare();
    CHECK(runsOf(fleet, "pickup-7") == 1);
    CHECK(runsOf(fleet, "pickup-8") == 0);
}
