#include "support/answers.h"

#include <numeric>
#include <regex>

namespace rosemaryshift::testing {

std::vector<int> wordNumbers(std::string_view body)
{
    static const std::regex Word("w[0-9a-f]{6}-([0-9]+) ");
    std::vector<int> numbers;
    const std::string text(body);
    for (std::sregex_iterator at(text.begin(), text.end(), Word); at != std::sregex_iterator(); ++at) {
        numbers.push_back(std::stoi((*at)[1].str()));
    }
    return numbers;
}

std::string requestId(std::string_view body)
{
    static const std::regex Id("entry-[0-9]+\\.[0-9a-f]{8}-[0-9]+");
    const std::string text(body);
    std::smatch match;
    return std::regex_search(text, match, Id) ? match[0].str() : std::string();
}

std::vector<int> numbersBelow(int end)
{
    std::vector<int> numbers(static_cast<std::size_t>(end));
    std::iota(numbers.begin(), numbers.end(), 0);
    return numbers;
}

}
