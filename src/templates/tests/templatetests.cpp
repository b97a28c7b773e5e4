#include "templates/itemplatefold.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::templates;

namespace {

std::string yardTemplate(int inFlight)
{
    return "workspace = \"yard\"\n"
           "key_sha256 = [\"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\"]\n"
           "[limits]\nrequests_in_flight = "
        + std::to_string(inFlight)
        + "\nrequests_queued = 4\n"
          "[[models]]\nname = \"small\"\n";
}

TemplateChange change(std::uint64_t base, const std::string &id, const std::string &text)
{
    return {"yard", base, id, "committee member " + id, text};
}

}

SCENARIO("Committee members change a template")
{
    const std::unique_ptr<ITemplateFold> fold = makeTemplateFold();
    REQUIRE(fold->apply(10, change(0, "first", yardTemplate(2))).verdict == ChangeVerdict::Accepted);

    GIVEN("two changes made on the same revision")
    {
        const ChangeResult winner = fold->apply(11, change(1, "winner", yardTemplate(3)));
        const ChangeResult loser = fold->apply(12, change(1, "loser", yardTemplate(4)));
        THEN("the first in the log is in force and the other is told by whom it was overtaken")
        {
            CHECK(winner.verdict == ChangeVerdict::Accepted);
            CHECK(loser.verdict == ChangeVerdict::Conflict);
            CHECK_THAT(loser.reason, Catch::Contains("winner"));
            REQUIRE(fold->inForce("yard") != nullptr);
            CHECK(fold->inForce("yard")->revision == 2);
            CHECK(fold->inForce("yard")->content.limits.requestsInFlight == 3);
        }
        THEN("a record that stands twice changes nothing")
        {
            CHECK(fold->apply(13, change(1, "winner", yardTemplate(3))).verdict == ChangeVerdict::Duplicate);
            CHECK(fold->inForce("yard")->revision == 2);
        }
    }
    GIVEN("a change that does not pass the checks")
    {
        const ChangeResult result = fold->apply(11, change(1, "bad", "workspace = \"yard\"\n"));
        THEN("the revision before stays in force")
        {
            CHECK(result.verdict == ChangeVerdict::Invalid);
            CHECK(fold->inForce("yard")->revision == 1);
        }
    }
    GIVEN("a change's record")
    {
        const std::optional<TemplateChange> read = changeFromRecord(toRecord(change(1, "x", yardTemplate(1))));
        REQUIRE(read);
        CHECK(read->base == 1);
        CHECK(read->text == yardTemplate(1));
        CHECK_FALSE(changeFromRecord("{\"kind\":\"template\"}"));
        CHECK_FALSE(changeFromRecord("not json"));
    }
}
