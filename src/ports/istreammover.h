#pragma once

#include "http/httptypes.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace rosemaryshift::ports {

/// A handle to the memory of a run, and the upstream from which it was copied.
struct RunMemory {
    http::Endpoint source;
    std::string handle;

    bool operator==(const RunMemory &) const = default;
};

/// Asks an upstream to copy the memory of a run to another upstream.
struct CopyCall {
    std::string run;         ///< The caller's attempt id.
    std::string instance;    ///< The upstream that runs it.
    http::Endpoint endpoint; ///< Of that upstream.
    http::Endpoint destination;
    bool stops = false; ///< The run stops first, so that the copy is final; otherwise it goes on meanwhile.
};

/// How a CopyCall ended.
enum class CopyOutcome : std::uint8_t {
    Copied,
    NoRun,       ///< The upstream has no such run.
    Busy,        ///< Another call for this run is in progress.
    NoRoom,      ///< The destination has no room or cannot be reached. A run that was to stop has stopped, and the upstream keeps its memory.
    Refused,     ///< The upstream answered in another way.
    Unreachable, ///< No connection was established, so that the call was not received.
    Unknown,     ///< No answer came; the call may have taken effect.
};

/// The answer to a CopyCall.
struct CopyAnswer {
    CopyOutcome outcome = CopyOutcome::Unknown;
    std::string handle; ///< Handle to the memory; empty when none was stated.
    std::string detail; ///< For event logs, when nothing was copied.
};

/// Client of the upstreams' calls that move the memory of running requests. Not thread-safe, but several calls may be pending at a time.
class IStreamMover
{
public:
    virtual ~IStreamMover() = default;

    /// Has the memory of a run copied; returns when the copy is complete. A repeated call copies only what is new.
    virtual boost::asio::awaitable<CopyAnswer> copy(CopyCall call, std::chrono::milliseconds timeout) = 0;
    /// Has the upstream at @p endpoint free the memory with @p handle; called at the source of a copy, it is freed at both ends. Returns whether the upstream
    /// confirmed that.
    virtual boost::asio::awaitable<bool> release(http::Endpoint endpoint, std::string handle, std::chrono::milliseconds timeout) = 0;
};

}
