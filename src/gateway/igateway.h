#pragma once

#include "gateway/gatewaysettings.h"
#include "ports/idutyclient.h"
#include "ports/imessagecodec.h"
#include "ports/iplatformcodec.h"
#include "ports/iplatformlog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::gateway {

/// What a gateway needs from the platform it runs on.
struct PlatformPorts {
    std::unique_ptr<ports::IMessageCodec> messageCodec;
    std::unique_ptr<ports::IPlatformCodec> platformCodec;
    std::unique_ptr<ports::IPlatformLog> configurationLog; ///< Its calls wait long, so it has connections of its own.
    std::unique_ptr<ports::IPlatformLog> platformLog;
    std::unique_ptr<ports::IDutyClient> dutyClient; ///< Null when the platform has none.
};

/// One entry host in front of a platform's upstreams. Runs on one thread.
class IGateway
{
public:
    virtual ~IGateway() = default;

    /// Serves until a stop is complete.
    virtual void run() = 0;
};

/// Makes a gateway that listens; nothing, with @p reason set, when an address cannot be listened on. @p reload gives the settings
/// anew, or nothing when they cannot be read.
std::unique_ptr<IGateway>
makeGateway(const GatewaySettings &settings, PlatformPorts ports, std::function<std::optional<GatewaySettings>()> reload, std::string &reason);

}
