#include "quarantine/crashquarantine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

using namespace rosemaryshift;
using namespace rosemaryshift::quarantine;
using rosemaryshift::ports::PromptPart;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1'000)};
constexpr std::uint64_t Deadly = 0xdead;
constexpr std::uint64_t Common = 0xc0;

std::vector<PromptPart> prompt(std::initializer_list<std::uint64_t> ids)
{
    std::vector<PromptPart> parts;
    for (const std::uint64_t id : ids) {
        parts.push_back({id, 100});
    }
    return parts;
}

/// A host with the changes that its quarantine has announced, such as "dead quarantined 3".
struct Host {
    explicit Host(const std::string &hostName, std::vector<std::string> others = {})
    {
        quarantine.setHosts(hostName, std::move(others));
    }

    /// An upstream breaks off the answer to a request with @p parts.
    void breakAnswer(std::initializer_list<std::uint64_t> parts, std::string_view instance, TimePoint now)
    {
        const std::vector<PromptPart> promptParts = prompt(parts);
        quarantine.noteBroken({"models", ++lastRequest, promptParts}, instance, now - milliseconds(100), now);
    }

    /// @p count requests with @p parts are answered completely, evenly spread over a second before @p now.
    void completeAnswers(int count, std::initializer_list<std::uint64_t> parts, TimePoint now)
    {
        for (int number = 0; number < count; ++number) {
            const std::vector<PromptPart> promptParts = prompt(parts);
            quarantine.noteCompleted({"models", ++lastRequest, promptParts}, now - milliseconds(1'000) * number / count);
        }
    }

    /// A request with @p parts is answered completely.
    void complete(std::initializer_list<std::uint64_t> parts, TimePoint now)
    {
        const std::vector<PromptPart> promptParts = prompt(parts);
        quarantine.noteCompleted({"models", ++lastRequest, promptParts}, now);
    }

    /// How long a request with @p parts has to wait; nothing when it is admitted.
    [[nodiscard]] std::optional<Duration> wait(std::initializer_list<std::uint64_t> parts, TimePoint now)
    {
        const std::vector<PromptPart> promptParts = prompt(parts);
        const std::optional<Rejection> rejection = quarantine.admit({"models", ++lastRequest, promptParts}, now);
        return rejection ? std::optional(rejection->wait) : std::nullopt;
    }

    [[nodiscard]] bool blocks(std::initializer_list<std::uint64_t> parts, TimePoint now)
    {
        return wait(parts, now).has_value();
    }

    std::uint64_t lastRequest = 0; ///< No two requests with a prompt are equal.
    std::vector<std::string> changes;
    CrashQuarantine quarantine{[this](SuspectId suspect, SuspectChange change, std::size_t crashes) {
        std::ostringstream text;
        text << std::hex << suspect.number << ' ' << name(change) << ' ' << std::dec << crashes;
        changes.push_back(text.str());
    }};
};

/// Three crashes at different upstreams, while other requests are answered; quarantines the deadly part within the last call.
void quarantineDeadlyPart(Host &host)
{
    for (int crash = 0; crash < 3; ++crash) {
        const TimePoint now = Start + seconds(crash);
        host.completeAnswers(20, {Common}, now);
        host.breakAnswer({Common, Deadly}, "i-" + std::to_string(crash), now);
    }
}

}

TEST_CASE("A prompt part under which several upstreams crash is quarantined, and the parts that come with it are not")
{
    Host host("entry-1");
    quarantineDeadlyPart(host);
    const TimePoint now = Start + seconds(2);
    CHECK(host.changes == std::vector<std::string>{"dead quarantined 3"});
    CHECK(host.blocks({Common, Deadly}, now));
    CHECK(host.blocks({0x7, Deadly, 0x8}, now));
    CHECK(!host.blocks({Common}, now));
    CHECK(!host.blocks({}, now));

    SECTION("the time until a trial grows with each further crash")
    {
        CHECK(host.wait({Deadly}, now) == Duration(seconds(30)));
        host.breakAnswer({Deadly}, "i-3", now + seconds(2));
        CHECK(host.wait({Deadly}, now + seconds(2)) == Duration(seconds(60)));
    }
    SECTION("after that time a single request is sent as a trial")
    {
        const TimePoint later = now + seconds(30);
        CHECK(!host.blocks({Common, Deadly}, later));
        CHECK(host.blocks({Common, Deadly}, later + milliseconds(1)));
        CHECK(host.changes.back() == "dead trial 3");

        SECTION("a further crash extends the quarantine")
        {
            host.breakAnswer({Common, Deadly}, "i-0", later + seconds(1));
            CHECK(host.wait({Deadly}, later + seconds(1)) == Duration(seconds(60)));
        }
        SECTION("a complete answer releases the part")
        {
            host.complete({Common, Deadly}, later + seconds(1));
            CHECK(host.changes.back() == "dead released 0");
            CHECK(!host.blocks({Common, Deadly}, later + seconds(1)));
        }
        SECTION("another trial follows when the first one told nothing")
        {
            CHECK(host.blocks({Deadly}, later + seconds(14)));
            CHECK(!host.blocks({Deadly}, later + seconds(15)));
        }
    }
    SECTION("without any request it is released in the end")
    {
        host.quarantine.update(now + seconds(1'799));
        CHECK(host.quarantine.quarantined(SuspectKind::PromptPart) == 1);
        host.quarantine.update(now + seconds(1'801));
        CHECK(host.quarantine.quarantined(SuspectKind::PromptPart) == 0);
        CHECK(host.changes.back() == "dead expired 3");
    }
}

TEST_CASE("Of several prompt parts that came together in all crashes, only the one that causes them stays in quarantine")
{
    constexpr std::uint64_t Companion = 0xab;
    Host host("entry-1");
    for (int crash = 0; crash < 3; ++crash) {
        const TimePoint now = Start + seconds(crash);
        host.completeAnswers(20, {Common}, now);
        host.breakAnswer({Common, Companion, Deadly}, "i-" + std::to_string(crash), now);
    }
    const TimePoint now = Start + seconds(3);
    REQUIRE(host.quarantine.quarantined(SuspectKind::PromptPart) == 2);
    CHECK(host.blocks({Common, Companion, Deadly}, now));

    SECTION("a request with only one of them is sent as a trial, one at a time")
    {
        CHECK(!host.blocks({Common, Companion}, now));
        CHECK(host.blocks({Common, Companion}, now + milliseconds(100)));
        CHECK(host.blocks({Common, Companion, Deadly}, now + milliseconds(100)));

        SECTION("when it is answered completely, that part is released and the other one is not")
        {
            host.complete({Common, Companion}, now + milliseconds(500));
            CHECK(!host.blocks({Common, Companion}, now + seconds(1)));
            CHECK(host.blocks({Common, Companion, Deadly}, now + seconds(1)));
            CHECK(host.blocks({Deadly}, now + seconds(1)));
        }
    }
    SECTION("when the upstream crashes under a request with only one of them, that part is no longer tried")
    {
        CHECK(!host.blocks({Common, Deadly}, now));
        host.breakAnswer({Common, Deadly}, "i-3", now + milliseconds(500));
        CHECK(host.blocks({Common, Deadly}, now + seconds(20)));

        SECTION("and a request with the other one is still a trial")
        {
            CHECK(!host.blocks({Common, Companion}, now + seconds(1)));
        }
    }
}

TEST_CASE("Broken answers that are no evidence against a prompt part do not quarantine it")
{
    Host host("entry-1");

    SECTION("breaks of many requests in one crash of their upstream")
    {
        host.completeAnswers(20, {Common}, Start);
        for (int request = 0; request < 10; ++request) {
            host.breakAnswer({Deadly}, "i-0", Start + milliseconds(10 * request));
        }
        host.quarantine.update(Start + seconds(2));
        CHECK(host.quarantine.quarantined(SuspectKind::PromptPart) == 0);
    }
    SECTION("crashes with a complete answer in between")
    {
        for (int crash = 0; crash < 10; ++crash) {
            const TimePoint now = Start + seconds(crash);
            host.completeAnswers(20, {Common}, now);
            host.breakAnswer({Deadly}, "i-" + std::to_string(crash), now);
            if (crash % 2 == 1) {
                host.complete({Deadly}, now + milliseconds(1));
            }
        }
        CHECK(host.quarantine.quarantined(SuspectKind::PromptPart) == 0);
    }
    SECTION("crashes in which most other answers broke as well, as when a service fails as a whole")
    {
        for (int crash = 0; crash < 6; ++crash) {
            for (std::uint64_t other = 0; other < 10; ++other) {
                host.breakAnswer({0x100 + other, 0x200 + other}, "i-" + std::to_string(crash), Start + milliseconds(300 * crash));
            }
            host.breakAnswer({Deadly}, "i-" + std::to_string(crash), Start + milliseconds(300 * crash));
        }
        host.completeAnswers(10, {Common}, Start + seconds(2));
        host.quarantine.update(Start + seconds(2));
        CHECK(host.quarantine.quarantined(SuspectKind::PromptPart) == 0);
    }
    SECTION("several crashes at once, before complete answers of other hosts can be heard of")
    {
        host.completeAnswers(100, {0x1}, Start);
        for (const std::string instance : {"i-0", "i-1", "i-2", "i-3"}) {
            host.breakAnswer({Common}, instance, Start);
        }
        CHECK(!host.blocks({Common}, Start + milliseconds(100)));
        host.quarantine.apply(std::vector<SuspectReport>{{{SuspectKind::PromptPart, Common}, "models", {}, false, 50}}, Start + milliseconds(400));
        host.quarantine.update(Start + seconds(1));
        CHECK(host.quarantine.quarantined(SuspectKind::PromptPart) == 0);
    }
    SECTION("crashes long ago")
    {
        host.completeAnswers(20, {Common}, Start);
        host.breakAnswer({Deadly}, "i-0", Start);
        host.breakAnswer({Deadly}, "i-1", Start + seconds(1));
        host.quarantine.update(Start + seconds(62));
        host.completeAnswers(20, {Common}, Start + seconds(63));
        host.breakAnswer({Deadly}, "i-2", Start + seconds(63));
        host.quarantine.update(Start + seconds(65));
        CHECK(host.quarantine.quarantined(SuspectKind::PromptPart) == 0);
    }
}

TEST_CASE("Hosts pool what they know about prompt parts")
{
    Host first("entry-1", {"entry-2"});
    Host second("entry-2", {"entry-1"});
    const auto exchange = [&first, &second](TimePoint now) {
        const std::vector<SuspectReport> ofFirst = first.quarantine.reports(now);
        second.quarantine.apply(ofFirst, now);
        first.quarantine.apply(second.quarantine.reports(now), now);
    };
    first.completeAnswers(40, {Common}, Start + milliseconds(900));
    second.completeAnswers(40, {Common}, Start + milliseconds(900));

    SECTION("crashes that different hosts saw count together")
    {
        first.breakAnswer({Deadly}, "i-0", Start);
        second.breakAnswer({Deadly}, "i-1", Start + milliseconds(500));
        exchange(Start + milliseconds(600));
        second.breakAnswer({Deadly}, "i-2", Start + milliseconds(900));
        exchange(Start + seconds(1));
        CHECK(first.blocks({Deadly}, Start + seconds(1)));
        CHECK(second.blocks({Deadly}, Start + seconds(1)));

        SECTION("a complete answer at one host releases the part at both")
        {
            second.complete({Deadly}, Start + seconds(2));
            exchange(Start + seconds(2));
            exchange(Start + milliseconds(2'400));
            CHECK(!first.blocks({Deadly}, Start + seconds(3)));
            CHECK(!second.blocks({Deadly}, Start + seconds(3)));
        }
        SECTION("one of the hosts makes the trials")
        {
            const TimePoint later = Start + seconds(60);
            CHECK(first.blocks({Deadly}, later) != second.blocks({Deadly}, later));
        }
        SECTION("a host that has just started learns of the quarantine from any other")
        {
            Host restarted("entry-2", {"entry-1"});
            restarted.quarantine.apply(first.quarantine.reports(Start + seconds(2)), Start + seconds(2));
            CHECK(restarted.blocks({Deadly}, Start + seconds(2)));
        }
    }
    SECTION("after many crashes the part is told from those that only came with some of them")
    {
        constexpr std::uint64_t Other = 0xab;
        for (int crash = 0; crash < 20; ++crash) {
            const TimePoint now = Start + milliseconds(200 * crash);
            const std::string instance = "i-" + std::to_string(crash);
            first.breakAnswer({Deadly}, instance, now);
            if (crash < 10) {
                second.breakAnswer({Other}, instance, now + milliseconds(5));
            }
            first.completeAnswers(20, {Common}, now);
            second.completeAnswers(20, {Common}, now);
            exchange(now + milliseconds(100));
        }
        const TimePoint now = Start + seconds(5);
        REQUIRE(second.quarantine.quarantined(SuspectKind::PromptPart) == 2);
        CHECK(second.blocks({Deadly}, now));
        CHECK(!second.blocks({Other}, now));
    }
    SECTION("a crash that both hosts saw counts once")
    {
        for (int crash = 0; crash < 2; ++crash) {
            const TimePoint now = Start + seconds(2 * crash);
            first.breakAnswer({Deadly}, "i-" + std::to_string(crash), now);
            second.breakAnswer({Deadly}, "i-" + std::to_string(crash), now + milliseconds(30));
            exchange(now + milliseconds(400));
        }
        exchange(Start + seconds(4));
        CHECK(!first.blocks({Deadly}, Start + seconds(4)));
    }
    SECTION("what is sent is bounded, and a part in quarantine comes first")
    {
        quarantineDeadlyPart(first);
        for (std::uint64_t part = 0; part < 2'000; ++part) {
            first.breakAnswer({0x1000 + part}, "i-9", Start + seconds(3));
        }
        const std::vector<SuspectReport> reports = first.quarantine.reports(Start + seconds(3));
        CHECK(reports.size() == 12);
        CHECK(reports.front().id.number == Deadly);
        for (const SuspectReport &report : reports) {
            CHECK(report.crashes.size() <= 6);
        }
        CHECK(first.blocks({Deadly}, Start + seconds(3)));
    }
}

// Guards against a deadly part that other hosts don't hear of: a crash breaks more sound requests than a report holds, and they came first (review/14).
TEST_CASE("Hosts tell each other first of the suspects that were there for the shortest time before their crash")
{
    constexpr int SoundStreams = 30;
    const auto reportsDeadly = [](const CrashQuarantine &quarantine, TimePoint now) {
        return std::ranges::any_of(quarantine.reports(now), [](const SuspectReport &report) {
            return report.id == SuspectId{SuspectKind::PromptPart, Deadly};
        });
    };
    Host host("a", {"b"});
    std::uint64_t number = 0;
    const auto breakStream = [&](std::uint64_t part, seconds present) {
        const std::vector<PromptPart> parts = prompt({part});
        host.quarantine.noteBroken({"models", ++number, parts}, "model-a", Start - present, Start);
    };
    for (int stream = 0; stream < SoundStreams; ++stream) {
        breakStream(0x100U + static_cast<std::uint64_t>(stream), seconds(3));
    }
    const std::vector<PromptPart> deadly = prompt({Deadly});
    host.quarantine.noteBroken({"models", ++number, deadly}, "model-a", Start - milliseconds(200), Start);
    CHECK(reportsDeadly(host.quarantine, Start));
}
