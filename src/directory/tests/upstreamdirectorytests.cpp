#include "directory/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::directory;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

UpstreamEntry makeEntry(const std::string &instance, std::uint64_t startTimeMs = 1'000)
{
    UpstreamEntry entry;
    entry.instance = instance;
    entry.startTimeMs = startTimeMs;
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

TEST_CASE("An upstream gets new requests while it is listed and ready")
{
    UpstreamDirectory directory;
    directory.apply(makeEntry("a"), Start);
    REQUIRE(directory.usable("engines", Start).size() == 1);
    CHECK(directory.usable("dispatch", Start).empty());

    SECTION("the run that was chosen is told from what the list has by then")
    {
        const UpstreamEntry chosen = directory.find("a")->entry;
        REQUIRE(directory.usableRun(chosen, Start) == directory.find("a"));

        SECTION("the same run may get requests until it leaves")
        {
            UpstreamEntry later = chosen;
            later.warmUp = std::chrono::seconds(1);
            directory.apply(later, Start);
            CHECK(directory.usableRun(chosen, Start) != nullptr);
            directory.apply(leaving(chosen), Start);
            CHECK(directory.usableRun(chosen, Start) == nullptr);
        }
        SECTION("another run under its id is not the chosen one")
        {
            directory.apply(makeEntry("a", 2'000), Start);
            CHECK(directory.usableRun(chosen, Start) == nullptr);
        }
        SECTION("a removed upstream is gone")
        {
            directory.applyAll({}, Start, false);
            CHECK(directory.usableRun(chosen, Start) == nullptr);
        }
        SECTION("one that another instance answered for is avoided for a while")
        {
            directory.noteMisdirected("a", Start);
            CHECK(directory.usableRun(chosen, Start + std::chrono::seconds(1)) == nullptr);
            CHECK(directory.usableRun(chosen, Start + std::chrono::seconds(6)) != nullptr);
        }
    }
    SECTION("an upstream that says in an answer that it leaves gets no new requests")
    {
        directory.noteLeaving("a");
        REQUIRE(directory.usable("engines", Start).empty());

        SECTION("while the list still says that it is ready")
        {
            directory.apply(makeEntry("a"), Start + std::chrono::seconds(1));
            CHECK(directory.usable("engines", Start).empty());
        }
        SECTION("after its entry was removed and the list is read again from an older state")
        {
            directory.applyAll({}, Start + std::chrono::seconds(1), false);
            directory.applyAll(std::vector<UpstreamEntry>{makeEntry("a")}, Start + std::chrono::seconds(2), false);
            CHECK(directory.usable("engines", Start).empty());
        }
        SECTION("until it starts again")
        {
            directory.apply(makeEntry("a", 2'000), Start + std::chrono::seconds(1));
            CHECK(directory.usable("engines", Start).size() == 1);
        }
    }
    SECTION("an upstream that announces that it leaves gets no new requests")
    {
        directory.apply(leaving(makeEntry("a")), Start);
        CHECK(directory.usable("engines", Start).empty());

        SECTION("a later ready entry of the same run does not make it usable again")
        {
            directory.apply(makeEntry("a"), Start + std::chrono::seconds(1));
            CHECK(directory.usable("engines", Start).empty());
        }
        SECTION("a ready entry of the same run does not make it usable again, even after its entry was removed")
        {
            directory.remove("a", Start, false);
            directory.apply(makeEntry("a"), Start + std::chrono::seconds(1));
            CHECK(directory.usable("engines", Start).empty());
        }
        SECTION("an entry of a later run with the same id makes it usable again")
        {
            directory.apply(makeEntry("a", 2'000), Start + std::chrono::seconds(1));
            CHECK(directory.usable("engines", Start).size() == 1);

            SECTION("a delayed entry of the previous run changes nothing")
            {
                directory.apply(leaving(makeEntry("a", 1'000)), Start + std::chrono::seconds(2));
                CHECK(directory.usable("engines", Start).size() == 1);
            }
        }
    }
    SECTION("an upstream that is no longer listed gets no new requests")
    {
        directory.remove("a", Start, false);
        CHECK(directory.usable("engines", Start).empty());
        CHECK(directory.find("a") == nullptr);
    }
    SECTION("an upstream whose address answers for another instance is avoided for some time")
    {
        directory.noteMisdirected("a", Start);
        CHECK(directory.usable("engines", Start + std::chrono::seconds(1)).empty());
        CHECK(directory.usable("engines", Start + std::chrono::seconds(6)).size() == 1);
    }
}

TEST_CASE("Upstreams stay usable when their entries lapse during an outage of the list")
{
    UpstreamDirectory directory;
    directory.apply(makeEntry("a"), Start);
    directory.apply(makeEntry("b"), Start);
    directory.remove("a", Start, true);
    directory.remove("b", Start, true);
    REQUIRE(directory.usable("engines", Start).size() == 2);

    SECTION("once the list has settled, upstreams that were not listed again are dropped")
    {
        directory.apply(makeEntry("a"), Start + std::chrono::seconds(1));
        directory.settle(Start + std::chrono::seconds(1));
        REQUIRE(directory.usable("engines", Start).size() == 1);
        CHECK(directory.find("a") != nullptr);
        CHECK(directory.find("b") == nullptr);
    }
}

TEST_CASE("Applying the whole list replaces the known upstreams")
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
