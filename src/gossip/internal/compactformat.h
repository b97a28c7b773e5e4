#pragma once

#include <cstddef>
#include <string_view>

namespace rosemaryshift::gossip {

/// Begins each datagram in the compact form; JSON begins with a brace.
constexpr std::string_view CompactMark = "RSG1";
/// Positions in the header of the byte that tells whether there is an echo, of the length of the body, and of the echo.
constexpr std::size_t EchoFlagAt = 4;
constexpr std::size_t BodyBytesAt = 6;
constexpr std::size_t EchoAt = 8;
/// Ends each of the names in the body.
constexpr char NameEnd = '\n';

}
