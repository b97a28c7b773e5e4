#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace rosemaryshift::testing {

/// Damages texts in a few random places each; the seed decides which. Not thread-safe.
class Damage
{
public:
    explicit Damage(std::uint32_t seed);

    std::string of(std::string text);
    /// A random number below @p bound.
    std::size_t pick(std::size_t bound);

private:
    void strike(std::string &text);

    std::mt19937 m_random;
};

}
