#pragma once

#include "support/fleet.h"

#include <string>

namespace rosemaryshift::testing {

/// Two zones of one entry host and one service each, with relays, which wait long for the log and for services.
FleetOptions bookingOptions();

/// A booking of a crate under @p key; @p deadlineMs 0 leaves the deadline to the template.
http::Request booking(const std::string &key, const std::string &crate = "crate 7", int deadlineMs = 0);
/// Sends a booking to an entry host and waits for its answer.
http::Response book(Fleet &fleet, std::size_t entryIndex, const std::string &key, const std::string &crate = "crate 7");
/// Sends a booking with a short deadline, for answers that are not expected to come in time.
http::Response bookWithShortDeadline(Fleet &fleet, std::size_t entryIndex, const std::string &key);
/// Sends a booking until the answer has @p status; fails the test when it does not within the limit.
http::Response bookUntil(Fleet &fleet, std::size_t entryIndex, const std::string &key, int status);
/// Takes all services off the platform's list and waits until entry host @p entryIndex has seen it.
void unlistServices(Fleet &fleet, std::size_t entryIndex);
/// A ticket minted by an entry host.
std::string requestTicket(Fleet &fleet, std::size_t entryIndex);

/// Whether a request has run, as its answer says.
std::string runStatusOf(const http::Response &response);
/// Code of a refusal.
std::string errorCodeOf(const http::Response &response);

/// Runs of @p key at all services.
std::uint64_t runCountOf(Fleet &fleet, const std::string &key);
void awaitRunCount(Fleet &fleet, const std::string &key, std::uint64_t runs);
/// Records of @p kind that the platform keeps.
std::size_t loggedRecordCount(const Fleet &fleet, const std::string &kind);
void awaitLogged(const Fleet &fleet, const std::string &kind, std::size_t count);

}
