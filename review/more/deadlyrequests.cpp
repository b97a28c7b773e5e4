// Three requests, each of which crashes every server that begins to run it, come again and again at the same time.

#include "../support-3/lab.h"

#include <cstdio>

using namespace rosemaryshift::review;

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::fputs("usage: program RECORD\n", stderr);
        return CouldNotRun;
    }
    constexpr std::size_t CrashesBefore = 3;
    constexpr std::size_t AllowedLater = 3;
    Plan plan;
    plan.servers = 3;
    plan.slots = 6;
    plan.soundPerSecond = 50;
    plan.length = milliseconds(45'000);
    if (withTrouble()) {
        plan.deadlyKinds = 3;
        plan.deadlyPause = milliseconds(1'000);
    }
    return runLab(plan, argv[1], [](const Seen &seen, Record &record) { return reportLateArrivals(seen, CrashesBefore, record) > AllowedLater; });
}
