#pragma once

#include <string>
#include <string_view>

namespace rosemaryshift::templates {

/// Lines that differ between two texts: "-" before a line of @p before only, "+" before one of @p after only and a blank
/// before one of both. Empty when the texts are equal. Takes time and memory in proportion to the product of the
/// numbers of lines. Thread-safe.
std::string textDiff(std::string_view before, std::string_view after);

}
