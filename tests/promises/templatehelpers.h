#pragma once

#include "support/fleet.h"

#include <string>

namespace rosemaryshift::testing {

/// The yard's template with another limit, which tells revisions apart.
std::string yardTemplateWithQueueLimit(int queued);
/// "REVISION CHANGE" of the yard's template on one host; "none" without one.
std::string yardRevisionOn(Fleet &fleet, std::size_t index);
/// Waits until yardRevisionOn() is @p expected on every host.
void awaitYardRevision(Fleet &fleet, const std::string &expected);
/// Checks that no host ever put an earlier revision in force after a later one.
void checkRevisionsNeverDecrease(Fleet &fleet);
/// Waits until every host finds the log reachable or not.
void awaitLogReachable(Fleet &fleet, bool reachable);
/// Sends a command to the platform's stand-in.
void sendPlatformCommand(const Fleet &fleet, const std::string &command, const std::string &body);
/// Offset behind the log's last record.
std::uint64_t logEndOffset(const Fleet &fleet);
/// Drops the log's records before @p oldest.
void dropRecords(const Fleet &fleet, std::uint64_t oldest);
/// Waits until host @p index knows so many peers.
void awaitPeerCount(Fleet &fleet, std::size_t index, std::size_t peers);

}
