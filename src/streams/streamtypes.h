#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rosemaryshift::streams {

/// The software that began a stream. What two versions of a service write does not fit together, so that no other version may continue it.
struct Origin {
    std::string service;
    std::string softwareVersion; ///< Empty when it is uncertain which version began the stream.

    [[nodiscard]] bool certain() const
    {
        return !softwareVersion.empty();
    }

    bool operator==(const Origin &) const = default;
};

/// Identifies a stream across hosts: a hash of its workspace and of the attempt that brought its first event.
using StreamKey = std::uint64_t;

/// The key of the stream whose first event was brought by @p attemptId, an attempt of a caller of @p workspace. Thread-safe.
StreamKey streamKey(std::string_view workspace, std::string_view attemptId);

}
