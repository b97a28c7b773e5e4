#include "streams/versionhistory.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::streams;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
const ServiceVersion First{"models", "v1"};
const ServiceVersion Second{"models", "v2"};

}

TEST_CASE("A version may have begun a stream while its upstreams are listed and for a while after")
{
    VersionHistory history;
    history.noteListed(First, Start);
    CHECK(history.versions("models") == std::set<std::string>{"v1"});
    CHECK(history.mixedServices().empty());
    history.noteListed(Second, Start + 5s);
    CHECK(history.mixedServices() == std::set<std::string>{"models"});

    SECTION("until its streams can no longer be resumed")
    {
        history.noteListed(Second, Start + 60s);
        CHECK(history.expire(Start + 60s).empty());
        CHECK(history.versions("models").size() == 2);
        history.expire(Start + 61s);
        CHECK(history.versions("models") == std::set<std::string>{"v2"});
    }
    SECTION("its record is to be removed then")
    {
        history.noteRecorded(First, false, Start + 5s);
        history.noteListed(Second, Start + 61s);
        CHECK(history.expire(Start + 61s) == std::vector<ServiceVersion>{First});
        CHECK(history.expire(Start + 62s).empty());
    }
}

TEST_CASE("A host that has just started takes the recorded versions for possible")
{
    VersionHistory history;
    history.noteListed(Second, Start);
    history.noteRecorded(First, false, Start);
    CHECK(history.versions("models") == std::set<std::string>{"v1", "v2"});
    CHECK(history.unrecorded() == std::vector<ServiceVersion>{Second});
    history.noteRecorded(Second, false, Start);
    CHECK(history.unrecorded().empty());

    SECTION("for the time that its own observation takes to show that they are gone")
    {
        history.noteListed(Second, Start + 61s);
        history.expire(Start + 61s);
        CHECK(history.versions("models") == std::set<std::string>{"v2"});
    }
}

TEST_CASE("Hosts tell each other the versions of services that have several")
{
    VersionHistory first;
    VersionHistory second;
    first.noteListed(First, Start);
    CHECK(first.reports(Start).empty());
    first.noteListed(Second, Start + 2s);
    const std::vector<VersionReport> reports = first.reports(Start + 3s);
    REQUIRE(reports.size() == 2);
    second.noteListed(First, Start);
    for (const VersionReport &report : reports) {
        second.apply(report, Start + 3s);
    }
    CHECK(second.mixedServices() == std::set<std::string>{"models"});

    SECTION("reports that go back and forth do not extend the time of a version that is gone")
    {
        for (std::chrono::seconds time = 3s; time < 70s; time += 1s) {
            first.noteListed(First, Start + time);
            second.noteListed(First, Start + time);
            for (const VersionReport &report : first.reports(Start + time)) {
                second.apply(report, Start + time);
            }
            for (const VersionReport &report : second.reports(Start + time)) {
                first.apply(report, Start + time);
            }
            first.expire(Start + time);
            second.expire(Start + time);
        }
        CHECK(first.versions("models") == std::set<std::string>{"v1"});
        CHECK(second.versions("models") == std::set<std::string>{"v1"});
    }
}

// Guards against the loss of a version that was listed unseen, while the host did not follow the list.
TEST_CASE("A version counts as listed until the end of a time in which the list was not observed")
{
    VersionHistory history;
    history.noteListed(First, Start);
    history.noteListed(Second, Start);
    history.noteUnobserved(Start + 50s);
    history.noteListed(First, Start + 100s);
    CHECK(history.expire(Start + 100s).empty());
    CHECK(history.versions("models").size() == 2);
    history.expire(Start + 111s);
    CHECK(history.versions("models") == std::set<std::string>{"v1"});
}

TEST_CASE("After records were lost, versions are recorded anew unless another host has done so")
{
    VersionHistory history;
    history.noteListed(First, Start);
    history.noteListed(Second, Start);
    history.noteRecorded(First, false, Start);
    history.noteRecorded(Second, false, Start);
    REQUIRE(history.unrecorded().empty());
    history.noteRecordsLost();
    CHECK(history.unrecorded().size() == 2);
    history.noteRecorded(First, false, Start + 1s);
    CHECK(history.unrecorded() == std::vector<ServiceVersion>{Second});
}

// Guards against hosts that take different versions for the one whose streams need no record.
TEST_CASE("A service has a default version only while its record says so")
{
    VersionHistory history;
    history.noteListed(First, Start);
    CHECK(!history.defaultVersion("models"));
    CHECK(history.defaultCandidates() == std::vector<ServiceVersion>{First});
    history.noteRecorded(First, true, Start);
    CHECK(history.defaultVersion("models") == "v1");
    CHECK(history.defaultCandidates().empty());

    SECTION("a version that joins does not change it, and is no candidate")
    {
        history.noteListed(Second, Start + 1s);
        history.noteRecorded(Second, false, Start + 1s);
        CHECK(history.defaultVersion("models") == "v1");
        CHECK(history.defaultCandidates().empty());

        SECTION("until streams of the one before can no longer be resumed")
        {
            history.noteListed(Second, Start + 61s);
            history.expire(Start + 61s);
            CHECK(!history.defaultVersion("models"));
            CHECK(history.defaultCandidates() == std::vector<ServiceVersion>{Second});
        }
        SECTION("or another host has recorded it as the default since")
        {
            history.noteRecorded(Second, true, Start + 2s);
            CHECK(history.defaultVersion("models") == "v2");
        }
    }
    SECTION("the record is lost with the log, and while two versions are there none becomes the default")
    {
        history.noteRecordsLost();
        CHECK(!history.defaultVersion("models"));
        history.noteListed(Second, Start + 1s);
        CHECK(history.defaultCandidates().empty());
    }
}
