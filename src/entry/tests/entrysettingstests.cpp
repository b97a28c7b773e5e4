#include "entry/entrysettings.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::entry;

SCENARIO("Reading an entry host's settings reports every error with its line")
{
    GIVEN("settings with an invalid address, a missing token file and an unknown key")
    {
        SettingsDocument document(
            "name = \"a\"\nzone = \"eger\"\nsurprise = 1\n[callers]\naddress = \"nowhere\"\n[peers]\naddress = \"127.0.0.1:0\"\ntoken_file = \"t\"\n"
            "[operators]\naddress = \"127.0.0.1:0\"\n[platform]\naddress = \"127.0.0.1:1\"\n",
            "e.toml");
        readEntrySettings(document);
        CHECK(document.errorText()
              == "e.toml:5: callers.address must be an IP address and a port, as in 127.0.0.1:8080\n"
                 "e.toml:9: operators.token_file is missing\n"
                 "e.toml:3: surprise is not a known setting\n");
    }
}
