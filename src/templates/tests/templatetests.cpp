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

SCENARIO("Changes read from the log update the template in force")
{
    const std::unique_ptr<ITemplateFold> fold = makeTemplateFold();
    REQUIRE(fold->apply(10, change(0, "first", yardTemplate(2))).verdict == ChangeVerdict::Accepted);

    GIVEN("two changes based on the same revision")
    {
        const ChangeResult winner = fold->apply(11, change(1, "winner", yardTemplate(3)));
        const ChangeResult loser = fold->apply(12, change(1, "loser", yardTemplate(4)));
        THEN("the first change in the log is in force, and the result of the second is a conflict that names the first")
        {
            CHECK(winner.verdict == ChangeVerdict::Accepted);
            CHECK(loser.verdict == ChangeVerdict::Conflict);
            CHECK_THAT(loser.reason, Catch::Contains("winner"));
            REQUIRE(fold->inForce("yard") != nullptr);
            CHECK(fold->inForce("yard")->stated.revision == 2);
            CHECK(fold->inForce("yard")->content.limits.requestsInFlight == 3);
        }
        THEN("applying both changes again returns their first results and leaves the revision in force")
        {
            CHECK(fold->apply(13, change(1, "winner", yardTemplate(3))).verdict == ChangeVerdict::Accepted);
            CHECK(fold->apply(14, change(1, "loser", yardTemplate(4))).verdict == ChangeVerdict::Conflict);
            CHECK(fold->inForce("yard")->stated.revision == 2);
            CHECK(fold->inForce("yard")->stated.offset == 11);
        }
    }
    GIVEN("a change whose text is not a valid template")
    {
        const ChangeResult result = fold->apply(11, change(1, "bad", "workspace = \"yard\"\n"));
        THEN("the change is invalid, and the previous revision stays in force")
        {
            CHECK(result.verdict == ChangeVerdict::Invalid);
            CHECK(fold->inForce("yard")->stated.revision == 1);
        }
    }
    GIVEN("more changes than the fold remembers results of")
    {
        for (std::size_t i = 0; i < MaxRememberedChanges; ++i) {
            fold->apply(20 + i, change(0, "late " + std::to_string(i), yardTemplate(9)));
        }
        THEN("the oldest result is forgotten, and applying its change again is a conflict")
        {
            CHECK_FALSE(fold->resultOf("first"));
            CHECK(fold->apply(20 + MaxRememberedChanges, change(0, "first", yardTemplate(2))).verdict == ChangeVerdict::Conflict);
            CHECK(fold->inForce("yard")->stated.revision == 1);
        }
    }
    GIVEN("the log record of a change, which parses to the same change, and malformed records, which do not parse")
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

SCENARIO("A fold combines the log with revisions that other hosts accepted")
{
    const std::unique_ptr<ITemplateFold> whole = makeTemplateFold();
    whole->apply(10, change(0, "first", yardTemplate(2)));
    whole->apply(11, change(1, "second", yardTemplate(3)));
    whole->apply(12, change(1, "loser", yardTemplate(4)));
    const StatedRevision stated = whole->inForce("yard")->stated;
    const std::unique_ptr<ITemplateFold> other = makeTemplateFold();

    WHEN("the fold has no templates")
    {
        THEN("the revision of a peer comes into force, and its change id has a result")
        {
            CHECK(other->adopt(stated));
            CHECK(other->inForce("yard")->content.limits.requestsInFlight == 3);
            REQUIRE(other->resultOf("second"));
            CHECK(other->resultOf("second")->revision == 2);
        }
    }
    WHEN("the fold has a higher revision in force")
    {
        other->apply(10, change(0, "first", yardTemplate(2)));
        other->apply(11, change(1, "second", yardTemplate(3)));
        other->apply(13, change(2, "third", yardTemplate(5)));
        THEN("a lower revision does not replace it, neither from a peer nor from a replayed record")
        {
            CHECK_FALSE(other->adopt(stated));
            other->apply(14, change(1, "second", yardTemplate(3)));
            CHECK(other->inForce("yard")->stated.revision == 3);
        }
    }
    WHEN("the log dropped the accepted change but still holds a conflicting one of the same base")
    {
        other->noteGap();
        CHECK(other->apply(12, change(1, "loser", yardTemplate(4))).verdict == ChangeVerdict::Accepted);
        THEN("the revision with the lower log offset supersedes the conflicting one of the same number")
        {
            CHECK(other->adopt(stated));
            CHECK(other->inForce("yard")->stated.changeId == "second");
            CHECK_FALSE(whole->adopt({"yard", 2, 12, "loser", "x", yardTemplate(4)}));
        }
    }
    WHEN("the log dropped the first revisions and no peer supplied them")
    {
        other->noteGap();
        THEN("a change establishes its base revision, so that all hosts number revisions alike")
        {
            CHECK(other->apply(13, change(2, "third", yardTemplate(5))).revision == 3);
            CHECK(whole->apply(13, change(2, "third", yardTemplate(5))).revision == 3);
        }
    }
    WHEN("a peer supplies a revision that the fold has not yet read from the log")
    {
        REQUIRE(other->adopt(stated));
        THEN("records read afterwards get the same results as on every other host")
        {
            CHECK(other->apply(10, change(0, "first", yardTemplate(2))).verdict == ChangeVerdict::Accepted);
            CHECK(other->apply(11, change(1, "second", yardTemplate(3))).verdict == ChangeVerdict::Accepted);
            CHECK(other->apply(12, change(1, "loser", yardTemplate(4))).verdict == ChangeVerdict::Conflict);
            CHECK(other->inForce("yard")->stated.offset == 11);
            REQUIRE(other->history("yard").size() == 2);
            CHECK(other->history("yard")[0].changeId == "first");
        }
    }
    WHEN("a conflicting change is read after a peer supplied the accepted one, whose record was dropped")
    {
        other->noteGap();
        REQUIRE(other->adopt(stated));
        CHECK(other->apply(12, change(1, "loser", yardTemplate(4))).verdict == ChangeVerdict::Conflict);
    }
    WHEN("a carry-forward record contains the revision in force")
    {
        other->noteGap();
        other->noteCarried(stated);
        REQUIRE(other->adopt(stated));
        CHECK(other->apply(20, change(1, "late", yardTemplate(4))).verdict == ChangeVerdict::Conflict);
        CHECK(other->apply(21, change(2, "third", yardTemplate(5))).revision == 3);
    }
    WHEN("the log dropped no records")
    {
        THEN("a change based on a revision that never existed is a conflict")
        {
            CHECK(other->apply(10, change(7, "odd", yardTemplate(5))).verdict == ChangeVerdict::Conflict);
        }
    }
}
