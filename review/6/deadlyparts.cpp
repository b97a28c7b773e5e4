// A part of prompts crashes each model server that begins to write an answer on it, while the streams of sound requests last for two seconds.

#include "../support-3/lab.h"

#include <cstdio>

using namespace rosemaryshift::review;

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::fputs("usage: program RECORD\n", stderr);
        return CouldNotRun;
    }
    constexpr std::size_t CrashesBefore = 5;
    constexpr std::size_t AllowedLater = 3;
    Plan plan;
    plan.service = "rosemary-pool";
    plan.path = "/plan/";
    plan.stream = true;
    plan.servers = 4;
    plan.slots = 64;
    plan.soundPerSecond = 12;
    plan.length = milliseconds(40'000);
    if (withTrouble()) {
        plan.deadlyKinds = 1;
        plan.deadlyPause = milliseconds(1'000);
    }
    return runLab(plan, argv[1], [](const Seen &seen, Record &record) { return reportLateArrivals(seen, CrashesBefore, record) > AllowedLater; });
}
