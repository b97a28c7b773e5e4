#include "configurations/changesource.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::configurations;

namespace {

SectionedText makeText(int version, const SectionedText &known)
{
    const std::string begin = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    const std::string route = R"({"name":"r-1"})";
    const std::vector<TextSection> sections{{begin, false}, {route, true}, {"]}", false}};
    return {sections, known};
}

}

TEST_CASE("A host sends peers what they lack of the configuration in force")
{
    ChangeSource source;
    CHECK(source.current().empty());
    std::vector<SectionedText> texts;
    for (int version = 1; version <= 12; ++version) {
        texts.push_back(makeText(version, source.current()));
        source.add({texts.back(), ports::LogPosition{static_cast<std::uint64_t>(version), 1}});
    }

    SECTION("a peer with one of the last texts gets the change from it, one with an older or an unknown text the whole")
    {
        const std::size_t behind = GENERATE(1, 7, 11);
        const SectionedText known = texts.at(texts.size() - 1 - behind);
        const std::optional<LoggedText> sent = textOfBody(known, source.body(hexadecimal(known.digest())));
        REQUIRE(sent);
        CHECK(sent->text.text() == texts.back().text());
        CHECK(sent->end == ports::LogPosition{12, 1});
        CHECK(textOfBody(SectionedText(), source.body("unknown"))->text.text() == texts.back().text());
    }
    SECTION("the same body is sent to all peers with the same text, until another one is in force")
    {
        const std::string digest = hexadecimal(texts.at(10).digest());
        CHECK(&source.body(digest) == &source.body(digest));
        source.add({makeText(13, source.current()), std::nullopt});
        CHECK(textOfBody(texts.at(10), source.body(digest))->text.text() == makeText(13, {}).text());
    }
    SECTION("the position in the log is sent once it is known")
    {
        source.setEnd({40, 2});
        CHECK(textOfBody(SectionedText(), source.body(""))->end == ports::LogPosition{40, 2});
    }
    SECTION("what is no body is rejected")
    {
        CHECK_FALSE(textOfBody(texts.back(), R"({"version":4})"));
        CHECK_FALSE(textOfBody(texts.back(), ""));
    }
}
