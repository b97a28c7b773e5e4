#include "base/rendezvous.h"

namespace rosemaryshift {

namespace {

/// Finalizer of SplitMix64 (Steele, Lea, Flood 2014).
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// FNV-1a. Unlike std::hash, it gives the same value on every host.
std::uint64_t hashOf(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    }
    return hash;
}

}

std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view name)
{
    return mixed(hashOf(name) ^ mixed(key));
}

}
