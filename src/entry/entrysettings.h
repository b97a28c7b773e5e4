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

/// Settings of one entry host.
struct EntrySettings {
    std::string name;
    std::string zone;
    std::string logLevel;
    http::Endpoint callerEndpoint;
    http::Endpoint peerEndpoint;
    std::optional<http::Endpoint> advertisedPeerEndpoint; ///< Where peers reach that listener, when not at its own address.
    http::Endpoint operatorEndpoint;
    std::string peerTokenFile;
    std::string operatorTokenFile;
    http::Endpoint platformEndpoint;
    http::ServerLimits callerLimits;
    upstreams::AttemptTimeouts attemptTimeouts;
    requests::RegistryLimits retention;
    membership::MembershipSettings membership;
    bookings::BookingPolicy bookings; ///< But for its owner.
    std::uint32_t trafficThreads = 2;
    std::size_t timelineEvents = 10'000;
    std::uint64_t seed = 0; ///< Of the decisions' random choices; 0 means a random one.
};

/// Reads an entry host's settings; faults are noted in @p document.
EntrySettings readEntrySettings(SettingsDocument &document);

}
