#pragma once

#include "support/fleet.h"

#include <string>

namespace rosemaryshift::testing {

/// Returns the template of workspace "yard" with @p queued as its limit of queued requests, to tell revisions apart.
std::string yardTemplateWithQueueLimit(int queued);
/// Returns "REVISION CHANGE-ID" of the template of workspace "yard" in force on host @p index, "none" without a template.
std::string yardRevisionOn(Fleet &fleet, std::size_t index);
/// Waits until yardRevisionOn() is @p expected on every host.
void awaitYardRevision(Fleet &fleet, const std::string &expected);
/// Checks in the timelines that no host put an earlier revision in force after a later one.
void checkRevisionsNeverDecrease(Fleet &fleet);
/// Waits until every host reports the platform's log as reachable or, with @p reachable false, as unreachable.
void awaitLogReachable(Fleet &fleet, bool reachable);
/// Sends PUT /standin/COMMAND with @p body to the stand-in platform.
void sendPlatformCommand(const Fleet &fleet, const std::string &command, const std::string &body);
/// Returns the offset that the next record of the platform's log will have.
std::uint64_t logEndOffset(const Fleet &fleet);
/// Drops the records of the platform's log with offsets below @p oldest.
void dropRecords(const Fleet &fleet, std::uint64_t oldest);
/// Waits until host @p index reports exactly @p peers peers.
void awaitPeerCount(Fleet &fleet, std::size_t index, std::size_t peers);

}
