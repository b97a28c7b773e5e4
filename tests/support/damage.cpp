#include "support/damage.h"

#include <algorithm>

namespace rosemaryshift::testing {

Damage::Damage(std::uint32_t seed)
    : m_random(seed)
{
}

std::string Damage::of(std::string text)
{
    const std::size_t strokes = 1 + pick(4);
    for (std::size_t i = 0; i < strokes && !text.empty(); ++i) {
        strike(text);
    }
    return text;
}

std::size_t Damage::pick(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

void Damage::strike(std::string &text)
{
    const std::size_t at = pick(text.size());
    const std::size_t length = 1 + pick(std::min<std::size_t>(16, text.size() - at));
    switch (pick(5)) {
    case 0:
        text.erase(at, length);
        break;
    case 1:
        text[at] = static_cast<char>(pick(256));
        break;
    case 2:
        text.insert(at, text.substr(at, length));
        break;
    case 3:
        text.insert(at, std::string(1 + pick(200), "{[\"0-"[pick(5)]));
        break;
    default:
        text.resize(at);
    }
}

}
