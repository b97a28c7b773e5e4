#include "configurations/compression.h"

#include <zlib.h>

#include <algorithm>
#include <new>

namespace rosemaryshift::configurations {

namespace {

/// Repeated member names are found by the fastest level, too.
constexpr int Level = Z_BEST_SPEED;
/// Bytes by which the output grows.
constexpr std::size_t OutputBytes = 64UL * 1024;

Bytef *bytesOf(char *text)
{
    return reinterpret_cast<Bytef *>(text);
}

const Bytef *bytesOf(const char *text)
{
    return reinterpret_cast<const Bytef *>(text);
}

}

std::string deflated(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string output(size, '\0');
    // Fails only without memory, or without room in the output, which has it for any input.
    if (compress2(bytesOf(output.data()), &size, bytesOf(bytes.data()), bytes.size(), Level) != Z_OK) {
        throw std::bad_alloc();
    }
    output.resize(size);
    return output;
}

std::optional<std::string> inflated(std::string_view bytes, std::size_t maxBytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        throw std::bad_alloc();
    }
    std::string output;
    stream.next_in = const_cast<Bytef *>(bytesOf(bytes.data())); // Not written to.
    stream.avail_in = static_cast<uInt>(bytes.size());
    int result = Z_OK;
    while (result == Z_OK && output.size() < maxBytes) {
        const std::size_t done = output.size();
        output.resize(std::min(maxBytes, done + OutputBytes));
        stream.next_out = bytesOf(output.data() + done);
        stream.avail_out = static_cast<uInt>(output.size() - done);
        result = inflate(&stream, Z_NO_FLUSH);
        output.resize(output.size() - stream.avail_out);
        if (result == Z_OK && output.size() == done) {
            result = Z_DATA_ERROR; // The input has ended in the middle.
        }
    }
    inflateEnd(&stream);
    return result == Z_STREAM_END ? std::optional(std::move(output)) : std::nullopt;
}

}
