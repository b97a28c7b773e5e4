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

std::string faultsOf(const std::string &text)
{
    std::vector<SettingsError> errors;
    parseTemplate(text, "yard.toml", errors);
    std::string all;
    for (const SettingsError &error : errors) {
        all += error.text() + "\n";
    }
    return all;
}

std::string fleetFaultsOf(const std::string &text, const ITemplateFold &fold, std::size_t entryHosts = 2)
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

SCENARIO("A template is checked by itself")
{
    CHECK(faultsOf(templateOf("yard", OldKey, SmallModel)).empty());
    CHECK_THAT(faultsOf(templateOf("yard", OldKey, "colour = 1\n" + SmallModel)), Catch::Contains("yard.toml:6: limits.colour is not a known setting"));
    CHECK_THAT(faultsOf("workspace = \"yard\"\nkey_sha256 = []\n[limits]\nrequests_in_flight = -1\nrequests_queued = 2\n" + SmallModel),
               Catch::Contains("yard.toml:2: key_sha256 must name at least one key") && Catch::Contains("yard.toml:4: limits.requests_in_flight"));
    CHECK_THAT(faultsOf(templateOf("yard", OldKey, SmallModel + "[[services]]\nname = \"small\"\n")),
               Catch::Contains("yard.toml:9: ") && Catch::Contains("routes overlap"));
    CHECK_THAT(faultsOf(templateOf("yard", OldKey, "[[services]]\nname = \"dispatch\"\nidempotent_posts = [\"/a\", \"/a/b\"]\n")),
               Catch::Contains("yard.toml:8: ") && Catch::Contains("/a/b lies within /a"));
    CHECK_THAT(faultsOf(templateOf("yard", OldKey, "[classes.booking]\ndeadline_ms = 5000\n" + SmallModel)),
               Catch::Contains("yard.toml:6: classes.booking has no target"));
}

SCENARIO("A template is checked against the fleet")
{
    const std::unique_ptr<ITemplateFold> fold = makeTemplateFold();
    REQUIRE(fold->apply(0, {"yard", 0, "first", "anna", templateOf("yard", OldKey, SmallModel)}).verdict == ChangeVerdict::Accepted);
    CHECK(fleetFaultsOf(templateOf("yard", OldKey, SmallModel), *fold).empty());

    THEN("a new model or service needs a live upstream")
    {
        CHECK_THAT(fleetFaultsOf(templateOf("yard", OldKey, SmallModel + "[[models]]\nname = \"large\"\n[[services]]\nname = \"dispatch\"\n"), *fold),
                   Catch::Contains("yard.toml:8: model large is served by no live upstream")
                       && Catch::Contains("yard.toml:10: service dispatch is served by no live upstream"));
    }
    THEN("each entry host needs a share of the limit")
    {
        CHECK_THAT(fleetFaultsOf(templateOf("yard", OldKey, SmallModel), *fold, 3),
                   Catch::Contains("yard.toml:4: limits.requests_in_flight is 2, but must be at least 3, one for each entry host"));
    }
    THEN("a model routed before may be without one for a while")
    {
        fold->apply(1, {"yard", 1, "second", "anna", templateOf("yard", OldKey, "[[models]]\nname = \"away\"\n")});
        CHECK(fleetFaultsOf(templateOf("yard", OldKey, "[[models]]\nname = \"away\"\n"), *fold).empty());
    }
    THEN("a change may not drop every key in force")
    {
        CHECK_THAT(fleetFaultsOf(templateOf("yard", NewKey, SmallModel), *fold), Catch::Contains("yard.toml:2: key_sha256 keeps none of the keys in force"));
    }
    THEN("a change may not take another workspace's key")
    {
        CHECK_THAT(fleetFaultsOf(templateOf("desk", OldKey, SmallModel), *fold), Catch::Contains("yard.toml:2: key_sha256 holds a key of workspace yard"));
    }
}
