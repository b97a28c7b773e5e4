#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::testing {

/// Returns the numbers of the words that the stand-in engine generated, in the order in which they stand in @p body.
std::vector<int> wordNumbers(std::string_view body);
/// Returns the id of the request that @p body answers, streamed or not; empty when the body holds no id.
std::string requestId(std::string_view body);
/// Returns the numbers from 0 to @p end - 1 in ascending order.
std::vector<int> numbersBelow(int end);

}
