#include "configurations/compression.h"
#include "configurations/textchange.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemaryshift;
using namespace rosemaryshift::configurations;

namespace {

/// A text with @p routes routes, of which the one at @p changed differs with @p version.
SectionedText makeText(std::uint64_t version, std::size_t routes, std::size_t changed, const SectionedText &known = {})
{
    std::vector<std::string> texts{R"({"version":)" + std::to_string(version) + R"(,"routes":[)"};
    for (std::size_t route = 0; route < routes; ++route) {
        texts.push_back(R"({"name":"r-)" + std::to_string(route) + (route == changed ? "/" + std::to_string(version) : std::string()) + R"("},)");
    }
    texts.push_back("]}");
    std::vector<TextSection> sections;
    for (std::size_t index = 0; index < texts.size(); ++index) {
        sections.push_back({texts[index], index > 0 && index + 1 < texts.size()});
    }
    return {sections, known};
}

constexpr std::size_t MostRoutes = 2'793;

}

TEST_CASE("The change from one text of a configuration to the next is sent in place of the text")
{
    const SectionedText old = makeText(4, MostRoutes, 7);
    const SectionedText next = makeText(5, MostRoutes, 7, old);
    REQUIRE(old.digest() != next.digest());

    SECTION("it leads from the one to the other, and tells where the other stands in the log")
    {
        const std::optional<LoggedText> applied = appliedChange(old, encodedChange(old, {next, ports::LogPosition{17, 2}}));
        REQUIRE(applied);
        CHECK(applied->text.text() == next.text());
        CHECK(applied->text.digest() == next.digest());
        CHECK(applied->end == ports::LogPosition{17, 2});
        CHECK_FALSE(appliedChange(old, encodedChange(old, {next, std::nullopt}))->end);
    }
    SECTION("its size does not grow with the number of routes that stay")
    {
        const SectionedText fewOld = makeText(4, 49, 7);
        const std::size_t few = encodedChange(fewOld, {makeText(5, 49, 7, fewOld), std::nullopt}).size();
        const std::size_t many = encodedChange(old, {next, std::nullopt}).size();
        CHECK(many <= few + 64);
        CHECK(many < 1'024);
    }
    SECTION("what stays is shared, so that it is neither copied nor parsed again")
    {
        const std::optional<LoggedText> applied = appliedChange(old, encodedChange(old, {next, std::nullopt}));
        REQUIRE(applied);
        CHECK(applied->text.sections()[1] == old.sections()[1]);
        CHECK(next.sections()[MostRoutes] == old.sections()[MostRoutes]);
    }
    SECTION("routes that are removed, added or moved")
    {
        const SectionedText shorter = makeText(6, 20, 7, next);
        CHECK(appliedChange(next, encodedChange(next, {shorter, std::nullopt}))->text.text() == shorter.text());
        CHECK(appliedChange(shorter, encodedChange(shorter, {next, std::nullopt}))->text.text() == next.text());
        std::vector<std::shared_ptr<const Section>> sections(next.sections().begin(), next.sections().end());
        std::ranges::reverse(sections);
        const SectionedText reversed(std::move(sections));
        CHECK(appliedChange(next, encodedChange(next, {reversed, std::nullopt}))->text.text() == reversed.text());
    }
    SECTION("a host that has another text, or none, does not apply it")
    {
        const std::string change = encodedChange(old, {next, std::nullopt});
        CHECK_FALSE(appliedChange(SectionedText(), change));
        CHECK_FALSE(appliedChange(next, change));
        CHECK(appliedChange(SectionedText(), encodedChange(SectionedText(), {next, std::nullopt}))->text.text() == next.text());
    }
    SECTION("damaged bytes are rejected")
    {
        const std::string change = encodedChange(old, {next, std::nullopt});
        for (std::size_t position = 0; position < change.size(); ++position) {
            std::string damaged = change;
            damaged[position] = static_cast<char>(damaged[position] ^ 0x55);
            const std::optional<LoggedText> applied = appliedChange(old, damaged);
            CHECK((!applied || applied->text.text() == next.text())); // Some bytes only pad others.
            CHECK_FALSE(appliedChange(old, std::string_view(change).substr(0, position)));
        }
    }
}

TEST_CASE("Texts are compressed for the way from host to host")
{
    const std::string text = GENERATE(makeText(4, MostRoutes, 7).text(), std::string(), std::string("a"));
    const std::string compressed = deflated(text);
    CHECK(inflated(compressed, text.size() + 1) == text);

    SECTION("what is larger than the bound, damaged or cut off is rejected")
    {
        CHECK_FALSE(inflated(compressed, text.size() / 2));
        CHECK_FALSE(inflated(std::string_view(compressed).substr(0, compressed.size() / 2), text.size() + 1));
        CHECK_FALSE(inflated("no compressed text", 1'000));
    }
    SECTION("repeated names take little room")
    {
        CHECK(makeText(4, MostRoutes, 7).text().size() > 4 * deflated(makeText(4, MostRoutes, 7).text()).size());
    }
}
