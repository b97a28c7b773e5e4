// Servers become brittle while the traffic is what it was before: three fifths of what they can run.

#include "../support-3/lab.h"

#include <cstdio>

using namespace rosemaryshift::review;

namespace {

/// Whether the servers fell over more often than 2 + a tenth of their number.
bool fellTooOften(const Seen &seen, int servers, Record &record)
{
    constexpr double AllowedFalls = 2;
    constexpr double ServersPerFall = 10;
    const auto found = seen.falls.find("brittle");
    const std::size_t falls = found == seen.falls.end() ? 0 : found->second.size();
    const double allowed = AllowedFalls + servers / ServersPerFall;
    record.writeResult("brittle servers fell over " + std::to_string(falls) + " times (allowed: " + std::to_string(allowed) + "); "
                       + std::to_string(seen.refusedByServers) + " requests were refused by servers for want of room");
    return static_cast<double>(falls) > allowed;
}

}

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::fputs("usage: program RECORD\n", stderr);
        return CouldNotRun;
    }
    Plan plan;
    plan.servers = 3;
    plan.slots = 6;
    plan.work = milliseconds(60);
    plan.soundPerSecond = 180;
    plan.clumped = true;
    plan.length = milliseconds(30'000);
    plan.tolerated = withTrouble() ? 5 : 0;
    const int servers = plan.servers;
    return runLab(plan, argv[1], [servers](const Seen &seen, Record &record) { return fellTooOften(seen, servers, record); });
}
