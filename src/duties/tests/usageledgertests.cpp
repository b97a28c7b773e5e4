#include "duties/usageledger.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::duties;

TEST_CASE("Requests are counted in the window in which they began to run, by workspace")
{
    UsageLedger ledger(std::chrono::seconds(5));
    ledger.count("yard", std::chrono::milliseconds(9'999));
    ledger.count("yard", std::chrono::milliseconds(10'000));
    ledger.count("office", std::chrono::milliseconds(14'999));

    CHECK(ledger.windowAt(std::chrono::milliseconds(10'000)) == 2);
    CHECK(ledger.endOf(2) == std::chrono::seconds(15));
    CHECK(ledger.windows().at(1) == UsageCounts{{"yard", 1}});
    CHECK(ledger.windows().at(2) == UsageCounts{{"yard", 1}, {"office", 1}});
}

TEST_CASE("The counts of all host processes are summed, however often and in whatever order they arrive")
{
    UsageCollector collector;
    collector.note("entry-1/a", 7, {{"yard", 5}});
    collector.note("entry-1/a", 7, {{"yard", 3}});
    collector.note("entry-1/b", 7, {{"yard", 1}});
    collector.note("entry-2/a", 7, {{"yard", 2}, {"office", 4}});
    collector.note("entry-2/a", 7, {{"yard", 2}, {"office", 4}});
    CHECK(collector.total(7) == UsageCounts{{"yard", 8}, {"office", 4}});

    SECTION("dropping the windows before a later one removes their counts")
    {
        collector.dropBefore(8);
        CHECK(collector.total(7).empty());
    }
}

TEST_CASE("A window is needed until its report is long overdue")
{
    const UsageLedger ledger(std::chrono::seconds(5));
    constexpr std::chrono::seconds ReportDelay{10};
    CHECK(ledger.earliestDue(std::chrono::seconds(104), ReportDelay) == 16);
    CHECK(ledger.earliestDue(std::chrono::seconds(105), ReportDelay) == 17);
    CHECK(ledger.earliestDue(std::chrono::seconds(3), ReportDelay) == 0);
}
