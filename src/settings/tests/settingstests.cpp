#include "settings/settingsdocument.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;

SCENARIO("A settings file is read with each fault named by file and line")
{
    GIVEN("a file with an unknown key, a wrong type and a value out of range")
    {
        SettingsDocument document("port = 70000\nname = 5\nsurprise = 1\n", "entry.toml");
        SettingsTable root = document.root();
        WHEN("all keys are read")
        {
            root.number("port", {0, 65535}, 0);
            root.text("name");
            root.text("zone");
            root.rejectUnknownKeys();
            THEN("each fault stands with its line")
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
        THEN("the syntax fault is the one error")
        {
            REQUIRE(document.errors().size() == 1);
            CHECK(document.errors()[0].line == 1);
        }
    }
}
