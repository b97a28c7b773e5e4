#include "settings/settingsdocument.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;

SCENARIO("Errors in a settings file are reported with file and line")
{
    GIVEN("a file with an unknown key, a wrong type, a value out of range and a missing key")
    {
        SettingsDocument document("port = 70000\nname = 5\nsurprise = 1\n", "entry.toml");
        SettingsTable root = document.root();
        WHEN("the settings are read and unknown keys are rejected")
        {
            root.number("port", {0, 65535}, 0);
            root.text("name");
            root.text("zone");
            root.rejectUnknownKeys();
            THEN("each error names its line, and that of the missing key the line of its table")
            {
                CHECK(document.errorText()
                      == "entry.toml:1: port must lie between 0 and 65535\n"
                         "entry.toml:2: name must be a text\n"
                         "entry.toml:1: zone is missing\n"
                         "entry.toml:3: surprise is not a known setting\n");
            }
        }
    }
    GIVEN("a file that is not TOML")
    {
        SettingsDocument document("a = \n", "entry.toml");
        THEN("the only error is the syntax error, with its line")
        {
            REQUIRE(document.errors().size() == 1);
            CHECK(document.errors()[0].line == 1);
        }
    }
}
