#pragma once

#include <cstddef>
#include <cstdint>

namespace rosemaryshift::limits {

/// Returns how many connections one of @p hosts may open to an upstream that accepts @p maxConnections from all hosts together. At least one,
/// even if the sum over all hosts then exceeds the limit; 0 means no limit and is returned only when @p maxConnections is 0. Each running
/// request uses one connection. Thread-safe.
std::uint32_t connectionShare(std::uint32_t maxConnections, std::size_t hosts);

}
