#pragma once

#include "entry/entrysettings.h"

#include <memory>
#include <string>

namespace rosemaryshift::entry {

/// An entry host: accepts requests from callers, routes them to upstreams and exchanges state with its peers and the platform.
class IEntryHost
{
public:
    virtual ~IEntryHost() = default;

    /// Serves until the host is stopped, by stop() or because the platform reclaims it, and its running requests have finished or
    /// were handed over. Blocks. Precondition: called once.
    virtual void run() = 0;
    /// Begins a graceful shutdown: new requests are refused, running ones finish. Further calls have no effect. Thread-safe.
    virtual void stop() = 0;
    /// Address of the listener for callers. A port configured as 0 is replaced by the one the operating system assigned.
    [[nodiscard]] virtual http::Endpoint callerEndpoint() const = 0;
    /// Address of the listener for peers; see callerEndpoint().
    [[nodiscard]] virtual http::Endpoint peerEndpoint() const = 0;
    /// Address of the listener for operators; see callerEndpoint().
    [[nodiscard]] virtual http::Endpoint operatorEndpoint() const = 0;
};

/// Creates a host whose listeners are already open. Returns null and sets @p reason when an address or a token file cannot be used.
std::unique_ptr<IEntryHost> makeEntryHost(const EntrySettings &settings, std::string &reason);

}
