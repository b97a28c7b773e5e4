#pragma once

#include <string>
#include <string_view>

namespace rosemaryshift::templates {

/// Line diff of two texts: lines only in @p before are prefixed with "-", lines only in @p after with "+" and common lines
/// with a blank. Empty when the texts are equal. Time and memory are proportional to the product of the numbers of lines.
/// Thread-safe.
std::string textDiff(std::string_view before, std::string_view after);

}
