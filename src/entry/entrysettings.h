#pragma once

#include "bookings/ibookingcoordinator.h"
#include "http/httptypes.h"
#include "membership/membershiptypes.h"
#include "requests/requestregistry.h"
#include "settings/settingsdocument.h"
#include "upstreams/upstreamtypes.h"

#include <optional>
#include <string>

namespace rosemaryshift::entry {

/// Settings of one entry host, as read from its settings file.
struct EntrySettings {
    std::string name;
    std::string zone;
    std::string logLevel;
    http::Endpoint callerEndpoint;
    http::Endpoint peerEndpoint;
    std::optional<http::Endpoint> advertisedPeerEndpoint; ///< Address at which peers reach the listener for peers, when it differs from @c peerEndpoint.
    http::Endpoint operatorEndpoint;
    std::string peerTokenFile;
    std::string operatorTokenFile;
    http::Endpoint platformEndpoint;
    http::ServerLimits callerLimits;
    upstreams::AttemptTimeouts attemptTimeouts;
    requests::RegistryLimits retention;
    membership::MembershipSettings membership;
    bookings::BookingPolicy bookings; ///< Without @c owner, which the host sets at its start.
    std::uint32_t trafficThreads = 2;
    std::size_t timelineEvents = 10'000; ///< Capacity of the event timeline.
    std::uint64_t seed = 0;              ///< Seed of the decision core's random choices; 0 selects a random seed.
};

/// Reads an entry host's settings; errors are collected in @p document.
EntrySettings readEntrySettings(SettingsDocument &document);

}
