#pragma once

#include "support/fleet.h"

#include <string>

namespace rosemaryshift::testing {

/// Settings of a fleet with two zones of one entry host and one service each, behind relays; entry hosts wait 20 s for the
/// log and 30 s for the first byte of a service.
FleetOptions bookingOptions();

/// Makes a booking request for @p crate with idempotency key @p key; with @p deadlineMs 0 the deadline of the template applies.
http::Request booking(const std::string &key, const std::string &crate = "crate 7", int deadlineMs = 0);
/// Sends a booking to entry host @p entryIndex and waits for its answer.
http::Response book(Fleet &fleet, std::size_t entryIndex, const std::string &key, const std::string &crate = "crate 7");
/// Sends a booking with a deadline of 300 ms, for cases in which no answer is expected in time.
http::Response bookWithShortDeadline(Fleet &fleet, std::size_t entryIndex, const std::string &key);
/// Repeats a booking until the answer has @p status; fails the test when it has not within WaitLimit.
http::Response bookUntil(Fleet &fleet, std::size_t entryIndex, const std::string &key, int status);
/// Removes all services from the platform's host list and waits until entry host @p entryIndex has noticed it.
void unlistServices(Fleet &fleet, std::size_t entryIndex);
/// Requests a ticket from entry host @p entryIndex and returns it.
std::string requestTicket(Fleet &fleet, std::size_t entryIndex);

/// Returns the Rosemaryshift-Run header of an answer: "ran", "not-run" or "unknown"; empty when it has none.
std::string runStatusOf(const http::Response &response);
/// Returns the error code in the body of a refusal.
std::string errorCodeOf(const http::Response &response);

/// Returns how often all services together have run the booking with idempotency key @p key.
std::uint64_t runCountOf(Fleet &fleet, const std::string &key);
/// Waits until runCountOf() of @p key is @p runs.
void awaitRunCount(Fleet &fleet, const std::string &key, std::uint64_t runs);
/// Returns the number of records of @p kind in the platform's log.
std::size_t loggedRecordCount(const Fleet &fleet, const std::string &kind);
/// Waits until the platform's log holds at least @p count records of @p kind.
void awaitLogged(const Fleet &fleet, const std::string &kind, std::size_t count);

}
