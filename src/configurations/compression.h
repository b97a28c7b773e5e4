#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::configurations {

/// Compresses @p bytes in the zlib format (RFC 1950). Thread-safe.
std::string deflated(std::string_view bytes);
/// Decompresses what deflated() returned; nothing when @p bytes is malformed, or holds more than @p maxBytes. Thread-safe.
std::optional<std::string> inflated(std::string_view bytes, std::size_t maxBytes);

}
