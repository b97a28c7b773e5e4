#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::testing {

/// Numbers of the stand-in engine's words in @p body, in their order.
std::vector<int> wordNumbers(std::string_view body);
/// Id of the request whose answer, streamed or not, @p body is; empty when it names none.
std::string requestId(std::string_view body);
/// 0 to @p end - 1.
std::vector<int> numbersBelow(int end);

}
