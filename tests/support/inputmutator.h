#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace rosemaryshift::testing {

/// Damages texts in a few random places each; the seed decides which. Not thread-safe.
class InputMutator
{
public:
    explicit InputMutator(std::uint32_t seed);

    std::string mutate(std::string text);
    /// A random number below @p bound.
    std::size_t randomBelow(std::size_t bound);

private:
    void applyOneEdit(std::string &text);

    std::mt19937 m_random;
};

}
