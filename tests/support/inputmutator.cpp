#include "support/inputmutator.h"

#include <algorithm>

namespace rosemaryshift::testing {

InputMutator::InputMutator(std::uint32_t seed)
    : m_random(seed)
{
}

std::string InputMutator::mutate(std::string text)
{
    const std::size_t edits = 1 + randomBelow(4);
    for (std::size_t i = 0; i < edits && !text.empty(); ++i) {
        applyOneEdit(text);
    }
    return text;
}

std::size_t InputMutator::randomBelow(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

void InputMutator::applyOneEdit(std::string &text)
{
    const std::size_t at = randomBelow(text.size());
    const std::size_t length = 1 + randomBelow(std::min<std::size_t>(16, text.size() - at));
    switch (randomBelow(5)) {
    case 0:
        text.erase(at, length);
        break;
    case 1:
        text[at] = static_cast<char>(randomBelow(256));
        break;
    case 2:
        text.insert(at, text.substr(at, length));
        break;
    case 3:
        text.insert(at, std::string(1 + randomBelow(200), "{[\"0-"[randomBelow(5)]));
        break;
    default:
        text.resize(at);
    }
}

}
