#include "limits/quotaenforcement.h"
#include "limits/windowquotas.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace rosemaryshift;
using namespace rosemaryshift::limits;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr std::chrono::milliseconds Window{8'000};
constexpr std::chrono::milliseconds ReportInterval{712};
constexpr QuotaTolerance Tolerance{0.1, 140'000, Window};

routing::Workspace makeWorkspace(double rate)
{
    routing::Workspace workspace;
    workspace.name = "yard";
    workspace.unit = routing::QuotaUnit::Tokens;
    workspace.perSecond = rate;
    workspace.burst = rate;
    return workspace;
}

}

TEST_CASE("A host enforces the quota of a window by what it knows of all hosts")
{
    WindowQuotas quotas(Tolerance, 1);
    const std::vector<routing::Workspace> workspaces{makeWorkspace(1'000'000)};
    quotas.configure(workspaces, Start - 2 * Window);
    quotas.updatePeerUsage("entry-1/1", {{"yard", 0}}, {Start, ReportInterval}, Start);

    SECTION("usage that another host reports leaves less room, and the refusal tells when the room is back")
    {
        quotas.updatePeerUsage("entry-1/1", {{"yard", 10'040'000}}, {Start + ReportInterval, ReportInterval}, Start + ReportInterval);
        const std::optional<Duration> wait = quotas.take("yard", 1'000, Start + ReportInterval);
        REQUIRE(wait);
        CHECK(*wait > Window - ReportInterval);
        const TimePoint later = Start + ReportInterval + *wait;
        quotas.updatePeerUsage("entry-1/1", {{"yard", 10'040'000}}, {later, ReportInterval}, later);
        CHECK_FALSE(quotas.take("yard", 1'000, later));
    }
    SECTION("a host that has restarted counts from 0")
    {
        quotas.updatePeerUsage("entry-1/2", {{"yard", 10'040'000}}, {Start + ReportInterval, ReportInterval}, Start + ReportInterval);
        CHECK(quotas.take("yard", 1'000, Start + ReportInterval));
    }
    SECTION("usage that another host takes back is room again")
    {
        const TimePoint second = Start + ReportInterval;
        quotas.updatePeerUsage("entry-1/1", {{"yard", 10'040'000}}, {second, ReportInterval}, second);
        quotas.updatePeerUsage("entry-1/1", {{"yard", 0}}, {second + ReportInterval, ReportInterval}, second + ReportInterval);
        CHECK_FALSE(quotas.take("yard", 1'000, second + ReportInterval));
    }
    SECTION("a total that no host can have used is ignored")
    {
        quotas.updatePeerUsage("entry-1/1", {{"yard", 1'000'000'000}}, {Start + ReportInterval, ReportInterval}, Start + ReportInterval);
        CHECK_FALSE(quotas.take("yard", 1'000, Start + ReportInterval));
        CHECK(quotas.ignoredReports() == 1);
    }
    SECTION("a demand that is no number is treated as absent")
    {
        quotas.updatePeerDemand("entry-1/1", {{"yard", std::nan("")}});
        CHECK_FALSE(quotas.take("yard", 1'000, Start));
        CHECK(std::isfinite(quotas.uses(Start).front().demanded));
    }
}

TEST_CASE("The quota rule changes with the configuration, and the reported usage goes on")
{
    const std::vector<routing::Workspace> workspaces{makeWorkspace(1'000'000)};

    SECTION("with a window in the settings")
    {
        QuotaEnforcement quotas(Tolerance, 1);
        REQUIRE(quotas.useWindows(true));
        quotas.configure(workspaces, Start);
        quotas.setShare("yard", 1, Start);
        REQUIRE_FALSE(quotas.take("yard", 500, Start + Window));
        REQUIRE(quotas.uses(Start + Window).size() == 1);
        REQUIRE(quotas.useWindows(false));
        CHECK(quotas.used().at("yard") == 500);
        CHECK(quotas.uses(Start + Window).empty());
    }
    SECTION("without one, token buckets stay in force")
    {
        QuotaEnforcement quotas({0.1, 140'000}, 1);
        CHECK_FALSE(quotas.useWindows(true));
    }
}
