#pragma once

#include <cstdint>
#include <string>

namespace rosemaryshift::rpc {

/// Why a call to another host failed.
enum class RpcError : std::uint8_t {
    NotSent,    ///< The connection failed, so that the peer has not received the call.
    NoResponse, ///< The call may have been sent, but no complete response came: the peer may have executed it.
    Refused,    ///< The peer did not execute the call, for example because of a wrong token, an unknown method or malformed parameters.
    Malformed,  ///< The response is not JSON-RPC.
};

/// Failure of a call to another host.
struct RpcFailure {
    RpcError error = RpcError::NotSent;
    std::string detail; ///< Description for logs.
};

}
