#pragma once

#include <cstddef>
#include <cstdint>

namespace rosemaryshift::limits {

/// How many of the connections that one upstream takes from all hosts together one of @p hosts may have, at least one; 0 for no limit, as when
/// @p maxConnections is 0. A request under way takes a connection of its own. Thread-safe.
std::uint32_t connectionShare(std::uint32_t maxConnections, std::size_t hosts);

}
