#include "templates/itemplatefold.h"
#include "templates/templaterecords.h"

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
            CHECK(fold->inForce("yard")->stated.revision == 2);
            CHECK(fold->inForce("yard")->content.limits.requestsInFlight == 3);
        }
        THEN("a record that stands twice changes nothing")
        {
            CHECK(fold->apply(13, change(1, "winner", yardTemplate(3))).verdict == ChangeVerdict::Accepted);
            CHECK(fold->apply(14, change(1, "loser", yardTemplate(4))).verdict == ChangeVerdict::Conflict);
            CHECK(fold->inForce("yard")->stated.revision == 2);
            CHECK(fold->inForce("yard")->stated.offset == 11);
        }
    }
    GIVEN("a change that does not pass the checks")
    {
        const ChangeResult result = fold->apply(11, change(1, "bad", "workspace = \"yard\"\n"));
        THEN("the revision before stays in force")
        {
            CHECK(result.verdict == ChangeVerdict::Invalid);
            CHECK(fold->inForce("yard")->stated.revision == 1);
        }
    }
    GIVEN("more changes than results are remembered")
    {
        for (std::size_t i = 0; i < MaxRememberedChanges; ++i) {
            fold->apply(20 + i, change(0, "late " + std::to_string(i), yardTemplate(9)));
        }
        THEN("the oldest result is forgotten, and its record still changes nothing")
        {
            CHECK_FALSE(fold->resultOf("first"));
            CHECK(fold->apply(20 + MaxRememberedChanges, change(0, "first", yardTemplate(2))).verdict == ChangeVerdict::Conflict);
            CHECK(fold->inForce("yard")->stated.revision == 1);
        }
    }
    GIVEN("a record of a change")
    {
        const std::optional<TemplateRecord> read = parseTemplateRecord(toRecord(change(1, "x", yardTemplate(1))));
        REQUIRE(read);
        REQUIRE(std::holds_alternative<TemplateChange>(*read));
        CHECK(std::get<TemplateChange>(*read).base == 1);
        CHECK(std::get<TemplateChange>(*read).text == yardTemplate(1));
        CHECK_FALSE(parseTemplateRecord("{\"kind\":\"template\"}"));
        CHECK_FALSE(parseTemplateRecord("{\"kind\":\"template_carried\"}"));
        CHECK_FALSE(parseTemplateRecord("not json"));
        CHECK_FALSE(parseTemplateRecord("[1]"));
    }
}

SCENARIO("A fold meets revisions that were accepted elsewhere")
{
    const std::unique_ptr<ITemplateFold> whole = makeTemplateFold();
    whole->apply(10, change(0, "first", yardTemplate(2)));
    whole->apply(11, change(1, "second", yardTemplate(3)));
    whole->apply(12, change(1, "loser", yardTemplate(4)));
    const StatedRevision stated = whole->inForce("yard")->stated;
    const std::unique_ptr<ITemplateFold> other = makeTemplateFold();

    WHEN("it knows nothing")
    {
        THEN("it takes the revision of a peer, and its change id is resolved")
        {
            CHECK(other->adopt(stated));
            CHECK(other->inForce("yard")->content.limits.requestsInFlight == 3);
            REQUIRE(other->resultOf("second"));
            CHECK(other->resultOf("second")->revision == 2);
        }
    }
    WHEN("it holds a higher revision")
    {
        other->apply(10, change(0, "first", yardTemplate(2)));
        other->apply(11, change(1, "second", yardTemplate(3)));
        other->apply(13, change(2, "third", yardTemplate(5)));
        THEN("an earlier one never comes back, neither from a peer nor from a replayed or carried record")
        {
            CHECK_FALSE(other->adopt(stated));
            other->apply(14, change(1, "second", yardTemplate(3)));
            CHECK(other->inForce("yard")->stated.revision == 3);
        }
    }
    WHEN("the log dropped the accepted change but still holds the one that lost to it")
    {
        other->noteGap();
        CHECK(other->apply(12, change(1, "loser", yardTemplate(4))).verdict == ChangeVerdict::Accepted);
        THEN("the record that the log took first supersedes the loser of the same revision")
        {
            CHECK(other->adopt(stated));
            CHECK(other->inForce("yard")->stated.changeId == "second");
            CHECK_FALSE(whole->adopt({"yard", 2, 12, "loser", "x", yardTemplate(4)}));
        }
    }
    WHEN("the log dropped the first revisions and no peer is left")
    {
        other->noteGap();
        THEN("a change proves the revision that it was made on, so that all hosts count alike")
        {
            CHECK(other->apply(13, change(2, "third", yardTemplate(5))).revision == 3);
            CHECK(whole->apply(13, change(2, "third", yardTemplate(5))).revision == 3);
        }
    }
    WHEN("a peer is ahead of what it has read of the log")
    {
        REQUIRE(other->adopt(stated));
        THEN("the records that it reads afterwards get the results that they got everywhere")
        {
            CHECK(other->apply(10, change(0, "first", yardTemplate(2))).verdict == ChangeVerdict::Accepted);
            CHECK(other->apply(11, change(1, "second", yardTemplate(3))).verdict == ChangeVerdict::Accepted);
            CHECK(other->apply(12, change(1, "loser", yardTemplate(4))).verdict == ChangeVerdict::Conflict);
            CHECK(other->inForce("yard")->stated.offset == 11);
            REQUIRE(other->history("yard").size() == 2);
            CHECK(other->history("yard")[0].changeId == "first");
        }
    }
    WHEN("it reads the loser after a peer told it the winner, whose record was dropped")
    {
        other->noteGap();
        REQUIRE(other->adopt(stated));
        CHECK(other->apply(12, change(1, "loser", yardTemplate(4))).verdict == ChangeVerdict::Conflict);
    }
    WHEN("a carry-forward record states the revision")
    {
        other->noteGap();
        other->noteCarried(stated);
        REQUIRE(other->adopt(stated));
        CHECK(other->apply(20, change(1, "late", yardTemplate(4))).verdict == ChangeVerdict::Conflict);
        CHECK(other->apply(21, change(2, "third", yardTemplate(5))).revision == 3);
    }
    WHEN("nothing was dropped")
    {
        THEN("a change made on a revision that never was is refused")
        {
            CHECK(other->apply(10, change(7, "odd", yardTemplate(5))).verdict == ChangeVerdict::Conflict);
        }
    }
}
