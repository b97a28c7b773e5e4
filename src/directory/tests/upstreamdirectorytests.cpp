#include "directory/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::directory;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

UpstreamEntry makeEntry(const std::string &instance, std::uint64_t bornMs = 1'000)
{
    UpstreamEntry entry;
    entry.instance = instance;
    entry.bornMs = bornMs;
    entry.service = "engines";
    entry.endpoint = {"127.0.0.1", 8000};
    entry.zone = "miskolc";
    return entry;
}

UpstreamEntry leaving(UpstreamEntry entry)
{
    entry.state = UpstreamState::Leaving;
    return entry;
}

}

TEST_CASE("An upstream gets new work while it is listed and ready")
{
    UpstreamDirectory directory;
    directory.apply(makeEntry("a"), Start);
    REQUIRE(directory.usable("engines", Start).size() == 1);
    CHECK(directory.usable("dispatch", Start).empty());

    SECTION("one that says it leaves gets nothing new")
    {
        directory.apply(leaving(makeEntry("a")), Start);
        CHECK(directory.usable("engines", Start).empty());

        SECTION("whatever a later entry of the same start says")
        {
            directory.apply(makeEntry("a"), Start + std::chrono::seconds(1));
            CHECK(directory.usable("engines", Start).empty());
        }
        SECTION("also when its entry went away meanwhile")
        {
            directory.remove("a", Start, false);
            directory.apply(makeEntry("a"), Start + std::chrono::seconds(1));
            CHECK(directory.usable("engines", Start).empty());
        }
        SECTION("until it is started again under its id")
        {
            directory.apply(makeEntry("a", 2'000), Start + std::chrono::seconds(1));
            CHECK(directory.usable("engines", Start).size() == 1);

            SECTION("and a late record of the start before changes nothing")
            {
                directory.apply(leaving(makeEntry("a", 1'000)), Start + std::chrono::seconds(2));
                CHECK(directory.usable("engines", Start).size() == 1);
            }
        }
    }
    SECTION("one that is no longer listed gets nothing new")
    {
        directory.remove("a", Start, false);
        CHECK(directory.usable("engines", Start).empty());
        CHECK(directory.find("a") == nullptr);
    }
    SECTION("one whose address answers for another instance is left alone for a while")
    {
        directory.noteMisdirected("a", Start);
        CHECK(directory.usable("engines", Start + std::chrono::seconds(1)).empty());
        CHECK(directory.usable("engines", Start + std::chrono::seconds(6)).size() == 1);
    }
}

TEST_CASE("Entries that lapsed while the list was away")
{
    UpstreamDirectory directory;
    directory.apply(makeEntry("a"), Start);
    directory.apply(makeEntry("b"), Start);
    directory.remove("a", Start, true);
    directory.remove("b", Start, true);
    REQUIRE(directory.usable("engines", Start).size() == 2);

    SECTION("keep their upstreams until the list has settled")
    {
        directory.apply(makeEntry("a"), Start + std::chrono::seconds(1));
        directory.settle(Start + std::chrono::seconds(1));
        REQUIRE(directory.usable("engines", Start).size() == 1);
        CHECK(directory.find("a") != nullptr);
        CHECK(directory.find("b") == nullptr);
    }
}

TEST_CASE("The whole list replaces what was known")
{
    std::vector<std::string> changes;
    UpstreamDirectory directory(
        [&changes](const Upstream &upstream, std::string_view change) { changes.push_back(upstream.entry.instance + " " + std::string(change)); });
    directory.apply(makeEntry("a"), Start);
    const std::vector<UpstreamEntry> entries{makeEntry("b"), leaving(makeEntry("c"))};
    directory.applyAll(entries, Start, false);

    CHECK(directory.find("a") == nullptr);
    CHECK(directory.usable("engines", Start).size() == 1);
    CHECK(changes == std::vector<std::string>{"a listed", "b listed", "c leaving", "a removed"});
}
