#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace rosemaryshift::testing {

/// Corrupts test inputs by random edits that follow from the seed, for robustness tests of parsers. Not thread-safe.
class InputMutator
{
public:
    explicit InputMutator(std::uint32_t seed);

    /// Returns @p text with one to four random edits: bytes removed, changed, repeated or inserted, or the end cut off.
    std::string mutate(std::string text);
    /// Returns a random number from 0 to @p bound - 1.
    std::size_t randomBelow(std::size_t bound);

private:
    void applyOneEdit(std::string &text);

    std::mt19937 m_random;
};

}
