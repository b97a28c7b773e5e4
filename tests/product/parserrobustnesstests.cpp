#include "base/json.h"
#include "platform/iplatform.h"
#include "settings/settingsdocument.h"
#include "support/inputmutator.h"
#include "templates/templatechecks.h"
#include "templates/templaterecords.h"
#include "timeline/timelinejson.h"
#include "upstreams/sseparser.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace rosemaryshift;
using rosemaryshift::testing::InputMutator;

namespace {

constexpr std::size_t Rounds = 2'000;

/// Runs @p parse on corrupted variants of @p sample; it may reject them but must neither throw nor crash.
void checkNeverThrows(const std::string &sample, const std::function<void(const std::string &)> &parse)
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    INFO("seed " << seed);
    InputMutator mutator(seed);
    for (std::size_t round = 0; round < Rounds; ++round) {
        const std::string damaged = mutator.mutate(sample);
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

SCENARIO("Parsers accept or reject corrupted input without throwing")
{
    SECTION("settings files")
    {
        checkNeverThrows("name = \"a\"\n[callers]\naddress = \"127.0.0.1:1\"\nheader_bytes = 300\n", [](const std::string &text) {
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
    SECTION("workspace templates")
    {
        checkNeverThrows(TemplateText, [](const std::string &text) {
            std::vector<SettingsError> errors;
            const std::optional<templates::WorkspaceTemplate> parsed = templates::parseTemplate(text, "f", errors);
            REQUIRE(parsed.has_value() == errors.empty());
        });
    }
    SECTION("template records of the log")
    {
        const std::unique_ptr<templates::ITemplateFold> fold = templates::makeTemplateFold();
        std::uint64_t offset = 0;
        const auto applyRecord = [&](const std::string &text) {
            const std::optional<templates::TemplateRecord> record = templates::parseTemplateRecord(text);
            if (record && std::holds_alternative<templates::TemplateChange>(*record)) {
                fold->apply(offset++, std::get<templates::TemplateChange>(*record));
            } else if (record) {
                fold->adopt(std::get<templates::StatedRevision>(*record));
            }
        };
        checkNeverThrows(templates::toRecord(templates::TemplateChange{"yard", 0, "change", "committee", TemplateText}), applyRecord);
        checkNeverThrows(templates::toRecord(templates::StatedRevision{"yard", 1, 0, "change", "committee", TemplateText}), applyRecord);
    }
    SECTION("the platform's host list and pages of its log")
    {
        checkNeverThrows(HostList, [](const std::string &text) { platform::hostListFromJson(text); });
        checkNeverThrows(LogText, [](const std::string &text) { platform::logPageFromJson(text); });
    }
    SECTION("server-sent events of an engine, received in pieces of random size")
    {
        InputMutator pieceLengths(1);
        checkNeverThrows("data: {\"id\":\"1\"}\n\n: note\n\nevent: x\ndata: a\ndata: b\n\ndata: [DONE]\n\n", [&](const std::string &text) {
            upstreams::SseParser parser;
            std::string_view rest = text;
            while (!rest.empty()) {
                const std::size_t length = 1 + pieceLengths.randomBelow(rest.size());
                parser.feed(rest.substr(0, length));
                rest.remove_prefix(length);
            }
        });
    }
    SECTION("pages of a timeline")
    {
        const std::string page = toText(timeline::toJson(timeline::TimelinePage{{{{1, 2}, "a", "i", 0, timeline::EventKind::HostReady, {}}}, 1}));
        checkNeverThrows(page, [](const std::string &text) {
            std::string reason;
            std::size_t skipped = 0;
            const std::optional<Json::Value> value = parseJson(text, reason);
            if (value) {
                timeline::pageFromJson(*value, skipped);
            }
        });
    }
}

SCENARIO("Invalid entries among valid ones are skipped and counted")
{
    GIVEN("a host list with one valid row among rows of a wrong type, with an unknown kind and with an invalid address")
    {
        const std::optional<platform::HostList> list = platform::hostListFromJson(
            R"({"version":1,"hosts":[5,{"name":"e1","kind":"engine","zone":"z","address":"127.0.0.1:1"},{"name":"e2","kind":"tower","zone":"z","address":"127.0.0.1:1"},{"name":"e3","kind":"engine","zone":"z","address":"nowhere"}]})");
        THEN("the valid row is read and the three others are counted as skipped")
        {
            REQUIRE(list);
            CHECK(list->hosts.size() == 1);
            CHECK(list->skipped == 3);
        }
    }
    GIVEN("a timeline page with one valid event, one of an unknown kind and one of a wrong type")
    {
        std::string reason;
        const std::optional<Json::Value> value
            = parseJson(R"({"dropped":0,"events":[{"stamp":"1.0","kind":"host_ready"},{"stamp":"2.0","kind":"host_sang"},7]})", reason);
        REQUIRE(value);
        std::size_t skipped = 0;
        const std::optional<timeline::TimelinePage> page = timeline::pageFromJson(*value, skipped);
        THEN("the valid event is read and the two others are counted as skipped")
        {
            REQUIRE(page);
            CHECK(page->events.size() == 1);
            CHECK(skipped == 2);
        }
    }
}
