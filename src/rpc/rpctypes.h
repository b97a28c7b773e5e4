#pragma once

#include <cstdint>
#include <string>

namespace rosemaryshift::rpc {

enum class RpcError : std::uint8_t {
    NotSent,    ///< No byte reached the peer.
    AnswerLost, ///< The peer may have acted.
    Refused,    ///< The peer did not act: wrong token, unknown method or malformed parameters.
    Malformed,  ///< The peer answered something that is not JSON-RPC.
};

struct RpcFailure {
    RpcError error = RpcError::NotSent;
    std::string detail;
};

}
