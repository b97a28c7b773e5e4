#pragma once

#include "gateway/gatewaysettings.h"
#include "ports/idutyclient.h"
#include "ports/imessagecodec.h"
#include "ports/iplatformcodec.h"
#include "ports/iplatformlog.h"
#include "ports/istreammover.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::gateway {

/// Adapters by which a gateway reads messages and uses the platform's services.
struct PlatformPorts {
    std::unique_ptr<ports::IMessageCodec> messageCodec;
    std::unique_ptr<ports::IPlatformCodec> platformCodec;
    std::unique_ptr<ports::IPlatformLog> configurationLog; ///< Its reads wait long for new records, so it has its own connections.
    std::unique_ptr<ports::IPlatformLog> platformLog;
    std::unique_ptr<ports::IDutyClient> dutyClient; ///< Null when no duty service is configured.
    std::unique_ptr<ports::IStreamMover> streamMover;
};

/// An entry host that forwards the requests of callers to upstreams. Runs on one thread.
class IGateway
{
public:
    virtual ~IGateway() = default;

    /// Serves until the process is told to stop and its open requests have ended, or the time for that is over.
    virtual void run() = 0;
};

/// Creates a gateway and opens its listeners. Returns null, and sets @p reason, when an address cannot be listened on. @p reload reads the settings
/// again, and returns nothing when they are invalid.
std::unique_ptr<IGateway>
makeGateway(const GatewaySettings &settings, PlatformPorts ports, std::function<std::optional<GatewaySettings>()> reload, std::string &reason);

}
