#include "base/json.h"
#include "eventlog/eventlog.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace rosemaryshift;
using namespace rosemaryshift::eventlog;

namespace {

/// Collects the written bytes up to a limit on their total, like a pipe whose reader has stopped reading.
class Collector : public ILineWriter
{
public:
    Collector(std::string &text, const std::size_t &limit)
        : m_text(text)
        , m_limit(limit)
    {
    }

    std::size_t write(std::string_view bytes) override
    {
        const std::size_t taken = std::min(bytes.size(), m_limit - std::min(m_limit, m_text.size()));
        m_text += bytes.substr(0, taken);
        return taken;
    }

private:
    std::string &m_text;
    const std::size_t &m_limit;
};

std::size_t count(std::string_view text, std::string_view part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

}

TEST_CASE("Each event is one JSON object on a line of its own")
{
    std::string text;
    std::size_t limit = 1024 * 1024;
    EventLog log("entry-1", "start-1", Budget{}, std::make_unique<Collector>(text, limit));
    log.write("refused", Importance::Failure, {{"request", "a\"b\n"}, {"status", std::int64_t{503}}, {"expected_ms", 12.5}, {"fresh", true}});
    log.flush();

    REQUIRE(count(text, "\n") == 1);
    std::string reason;
    const std::optional<Json::Value> line = parseJson(text, reason);
    REQUIRE(line);
    CHECK((*line)["event"] == "refused");
    CHECK((*line)["host"] == "entry-1");
    CHECK((*line)["start"] == "start-1");
    CHECK((*line)["request"] == "a\"b\n");
    CHECK((*line)["status"] == 503);
    CHECK((*line)["expected_ms"] == 12.5);
    CHECK((*line)["fresh"] == true);
}

TEST_CASE("The number of lines logged in one second is bounded")
{
    std::string text;
    std::size_t limit = 1024 * 1024;
    EventLog log("entry-1", "start-1", Budget{100, 1024 * 1024}, std::make_unique<Collector>(text, limit));
    for (int line = 0; line < 300; ++line) {
        log.write("offered", Importance::Ordinary, {});
    }
    log.flush();
    // Each second's budget of 100 lines admits 60 ordinary ones, and the loop may cross into the next second.
    CHECK(count(text, "offered") <= 120);
    CHECK(log.dropped() >= 180);

    SECTION("failures use budget that is closed to ordinary lines, and state changes use the rest")
    {
        for (int line = 0; line < 300; ++line) {
            log.write("refused", Importance::Failure, {});
        }
        log.write("store_lost", Importance::StateChange, {});
        log.flush();
        CHECK(count(text, "refused") >= 30);
        CHECK(count(text, "store_lost") == 1);
    }
}

TEST_CASE("Lines are dropped instead of waiting when the reader has stopped reading")
{
    std::string text;
    std::size_t limit = 10;
    EventLog log("entry-1", "start-1", Budget{100'000, 16 * 1024 * 1024}, std::make_unique<Collector>(text, limit));
    for (int line = 0; line < 10'000; ++line) {
        log.write("offered", Importance::Ordinary, {});
        log.flush();
    }
    CHECK(text.size() == 10);
    CHECK(log.dropped() > 5'000);
}
