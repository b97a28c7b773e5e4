#include "templates/templatechecks.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::templates;

namespace {

const std::string OldKey(64, 'a');
const std::string NewKey(64, 'b');

std::string templateOf(const std::string &workspace, const std::string &key, const std::string &rest)
{
    return "workspace = \"" + workspace + "\"\nkey_sha256 = [\"" + key + "\"]\n[limits]\nrequests_in_flight = 2\nrequests_queued = 2\n" + rest;
}

const std::string SmallModel = "[[models]]\nname = \"small\"\n";

std::string parseErrors(const std::string &text)
{
    std::vector<SettingsError> errors;
    parseTemplate(text, "yard.toml", errors);
    std::string all;
    for (const SettingsError &error : errors) {
        all += error.text() + "\n";
    }
    return all;
}

std::string fleetErrors(const std::string &text, const ITemplateFold &fold, std::size_t entryHosts = 2)
{
    std::vector<SettingsError> errors;
    const std::optional<WorkspaceTemplate> content = parseTemplate(text, "yard.toml", errors);
    REQUIRE(content);
    std::string all;
    for (const SettingsError &error : checkAgainstFleet(*content, "yard.toml", fold, {{"small"}, entryHosts})) {
        all += error.text() + "\n";
    }
    return all;
}

}

SCENARIO("Parsing a template reports unknown keys, invalid values, overlapping routes and classes without a target")
{
    CHECK(parseErrors(templateOf("yard", OldKey, SmallModel)).empty());
    CHECK_THAT(parseErrors(templateOf("yard", OldKey, "colour = 1\n" + SmallModel)), Catch::Contains("yard.toml:6: limits.colour is not a known setting"));
    CHECK_THAT(parseErrors("workspace = \"yard\"\nkey_sha256 = []\n[limits]\nrequests_in_flight = -1\nrequests_queued = 2\n" + SmallModel),
               Catch::Contains("yard.toml:2: key_sha256 must name at least one key") && Catch::Contains("yard.toml:4: limits.requests_in_flight"));
    CHECK_THAT(parseErrors(templateOf("yard", OldKey, SmallModel + "[[services]]\nname = \"small\"\n")),
               Catch::Contains("yard.toml:9: ") && Catch::Contains("routes overlap"));
    CHECK_THAT(parseErrors(templateOf("yard", OldKey, "[[services]]\nname = \"dispatch\"\nidempotent_posts = [\"/a\", \"/a/b\"]\n")),
               Catch::Contains("yard.toml:8: ") && Catch::Contains("/a/b lies within /a"));
    CHECK_THAT(parseErrors(templateOf("yard", OldKey, "[classes.booking]\ndeadline_ms = 5000\n" + SmallModel)),
               Catch::Contains("yard.toml:6: classes.booking has no target"));
}

SCENARIO("Checking a template against the fleet")
{
    const std::unique_ptr<ITemplateFold> fold = makeTemplateFold();
    REQUIRE(fold->apply(0, {"yard", 0, "first", "anna", templateOf("yard", OldKey, SmallModel)}).verdict == ChangeVerdict::Accepted);
    CHECK(fleetErrors(templateOf("yard", OldKey, SmallModel), *fold).empty());

    THEN("a new model or service that no live upstream serves is an error")
    {
        CHECK_THAT(fleetErrors(templateOf("yard", OldKey, SmallModel + "[[models]]\nname = \"large\"\n[[services]]\nname = \"dispatch\"\n"), *fold),
                   Catch::Contains("yard.toml:8: model large is served by no live upstream")
                       && Catch::Contains("yard.toml:10: service dispatch is served by no live upstream"));
    }
    THEN("a limit of requests in flight below the number of entry hosts is an error")
    {
        CHECK_THAT(fleetErrors(templateOf("yard", OldKey, SmallModel), *fold, 3),
                   Catch::Contains("yard.toml:4: limits.requests_in_flight is 2, but must be at least 3, one for each entry host"));
    }
    THEN("a model of the template in force may be without a live upstream")
    {
        fold->apply(1, {"yard", 1, "second", "anna", templateOf("yard", OldKey, "[[models]]\nname = \"away\"\n")});
        CHECK(fleetErrors(templateOf("yard", OldKey, "[[models]]\nname = \"away\"\n"), *fold).empty());
    }
    THEN("a change that drops every key in force is an error")
    {
        CHECK_THAT(fleetErrors(templateOf("yard", NewKey, SmallModel), *fold), Catch::Contains("yard.toml:2: key_sha256 keeps none of the keys in force"));
    }
    THEN("a key that another workspace uses is an error")
    {
        CHECK_THAT(fleetErrors(templateOf("desk", OldKey, SmallModel), *fold), Catch::Contains("yard.toml:2: key_sha256 holds a key of workspace yard"));
    }
}
