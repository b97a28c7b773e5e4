#include "templates/textdiff.h"

#include <catch2/catch.hpp>

using rosemaryshift::templates::textDiff;

SCENARIO("textDiff() marks removed, added and common lines")
{
    CHECK(textDiff("a\nb\nc\n", "a\nb\nc\n").empty());
    CHECK(textDiff("a\nb\nc\n", "a\nx\nc\nd\n") == " a\n-b\n+x\n c\n+d\n");
    CHECK(textDiff("", "a\n") == "+a\n");
    CHECK(textDiff("a\n", "") == "-a\n");
}
