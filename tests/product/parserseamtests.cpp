#include "base/json.h"
#include "platform/iplatform.h"
#include "settings/settingsdocument.h"
#include "support/damage.h"
#include "templates/templatechecks.h"
#include "templates/templaterecords.h"
#include "timeline/timelinejson.h"
#include "upstreams/sseparser.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace rosemaryshift;
using rosemaryshift::testing::Damage;

namespace {

constexpr std::size_t Rounds = 2'000;

/// Runs @p parse over damaged forms of @p sample; it may refuse them but must neither throw nor crash.
void survive(const std::string &sample, const std::function<void(const std::string &)> &parse)
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    INFO("seed " << seed);
    Damage damage(seed);
    for (std::size_t round = 0; round < Rounds; ++round) {
        const std::string damaged = damage.of(sample);
        INFO("round " << round << ": " << damaged);
        REQUIRE_NOTHROW(parse(damaged));
    }
}

const std::string TemplateText = "workspace = \"yard\"\nkey_sha256 = [\"" + std::string(64, 'a')
    + "\"]\n[limits]\nrequests_in_flight = 1\nrequests_queued = 0\n[classes.plan]\ndeadline_ms = 5\n[[models]]\nname = \"m\"\n";
const std::string HostList
    = R"({"version":3,"hosts":[{"name":"e1","kind":"engine","zone":"eger","address":"127.0.0.1:1","targets":["m"],"slots":8,"price":1.5},{"name":"n1","kind":"entry","zone":"eger","address":"127.0.0.1:2"}]})";
const std::string LogText = R"({"oldest":0,"next":2,"records":[{"offset":0,"data":"{}"},{"offset":1,"data":"x"}]})";

}

SCENARIO("Damaged input at any parser is refused or read and never stops the host")
{
    SECTION("settings")
    {
        survive("name = \"a\"\n[callers]\naddress = \"127.0.0.1:1\"\nheader_bytes = 300\n", [](const std::string &text) {
            SettingsDocument document(text, "f");
            SettingsTable root = document.root();
            root.text("name");
            std::optional<SettingsTable> callers = root.table("callers");
            if (callers) {
                callers->number("header_bytes", {256, 1024});
                callers->rejectUnknownKeys();
            }
            root.rejectUnknownKeys();
        });
    }
    SECTION("templates")
    {
        survive(TemplateText, [](const std::string &text) {
            std::vector<SettingsError> errors;
            const std::optional<templates::WorkspaceTemplate> parsed = templates::parseTemplate(text, "f", errors);
            REQUIRE(parsed.has_value() == errors.empty());
        });
    }
    SECTION("log records")
    {
        const std::unique_ptr<templates::ITemplateFold> fold = templates::makeTemplateFold();
        std::uint64_t offset = 0;
        const auto take = [&](const std::string &text) {
            const std::optional<templates::TemplateRecord> record = templates::parseTemplateRecord(text);
            if (record && std::holds_alternative<templates::TemplateChange>(*record)) {
                fold->apply(offset++, std::get<templates::TemplateChange>(*record));
            } else if (record) {
                fold->adopt(std::get<templates::StatedRevision>(*record));
            }
        };
        survive(templates::toRecord(templates::TemplateChange{"yard", 0, "change", "committee", TemplateText}), take);
        survive(templates::toRecord(templates::StatedRevision{"yard", 1, 0, "change", "committee", TemplateText}), take);
    }
    SECTION("the host list and pages of the log")
    {
        survive(HostList, [](const std::string &text) { platform::hostListFromJson(text); });
        survive(LogText, [](const std::string &text) { platform::logPageFromJson(text); });
    }
    SECTION("events of an engine's stream, in pieces of any size")
    {
        Damage pieces(1);
        survive("data: {\"id\":\"1\"}\n\n: note\n\nevent: x\ndata: a\ndata: b\n\ndata: [DONE]\n\n", [&](const std::string &text) {
            upstreams::SseParser parser;
            std::string_view rest = text;
            while (!rest.empty()) {
                const std::size_t length = 1 + pieces.pick(rest.size());
                parser.feed(rest.substr(0, length));
                rest.remove_prefix(length);
            }
        });
    }
    SECTION("pages of a time line")
    {
        const std::string page = toText(timeline::toJson(timeline::TimelinePage{{{{1, 2}, "a", "i", 0, timeline::EventKind::HostReady, {}}}, 1}));
        survive(page, [](const std::string &text) {
            std::string reason;
            std::size_t skipped = 0;
            const std::optional<Json::Value> value = parseJson(text, reason);
            if (value) {
                timeline::pageFromJson(*value, skipped);
            }
        });
    }
}

SCENARIO("A bad record among good ones is left out and counted")
{
    GIVEN("a host list with a row of another shape")
    {
        const std::optional<platform::HostList> list = platform::hostListFromJson(
            R"({"version":1,"hosts":[5,{"name":"e1","kind":"engine","zone":"z","address":"127.0.0.1:1"},{"name":"e2","kind":"tower","zone":"z","address":"127.0.0.1:1"},{"name":"e3","kind":"engine","zone":"z","address":"nowhere"}]})");
        THEN("the good row stays")
        {
            REQUIRE(list);
            CHECK(list->hosts.size() == 1);
            CHECK(list->skipped == 3);
        }
    }
    GIVEN("a page of a time line with an event of an unknown kind")
    {
        std::string reason;
        const std::optional<Json::Value> value
            = parseJson(R"({"dropped":0,"events":[{"stamp":"1.0","kind":"host_ready"},{"stamp":"2.0","kind":"host_sang"},7]})", reason);
        REQUIRE(value);
        std::size_t skipped = 0;
        const std::optional<timeline::TimelinePage> page = timeline::pageFromJson(*value, skipped);
        THEN("the good event stays")
        {
            REQUIRE(page);
            CHECK(page->events.size() == 1);
            CHECK(skipped == 2);
        }
    }
}
