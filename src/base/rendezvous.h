#pragma once

#include <cstdint>
#include <string_view>

namespace rosemaryshift {

/// Weight of the node @p name for @p key in rendezvous hashing: the node with the highest weight is chosen, and every host computes the same
/// weights. Thread-safe.
std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view name);

}
