#pragma once

#include "entry/entrysettings.h"

#include <memory>
#include <string>

namespace rosemaryshift::entry {

/// One entry host of the system: listeners, decisions and links to upstreams and the platform.
class IEntryHost
{
public:
    virtual ~IEntryHost() = default;

    /// Runs until a planned stop has finished all running requests. Precondition: called once.
    virtual void run() = 0;
    /// Begins a planned stop: no new requests, running ones finish. Calling it again changes nothing. Thread-safe.
    virtual void stop() = 0;
    /// Addresses listened on, with the ports the system chose.
    [[nodiscard]] virtual http::Endpoint callerEndpoint() const = 0;
    [[nodiscard]] virtual http::Endpoint peerEndpoint() const = 0;
    [[nodiscard]] virtual http::Endpoint operatorEndpoint() const = 0;
};

/// Makes a host that listens already; nothing, with @p reason set, when an address or token file cannot be used.
std::unique_ptr<IEntryHost> makeEntryHost(const EntrySettings &settings, std::string &reason);

}
