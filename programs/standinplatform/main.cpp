#include "standins/standinplatform.h"
#include "standins/standinprogram.h"

using namespace rosemaryshift::standins;

int main(int argc, char **argv)
{
    return runStandin<StandinPlatform>(
        argc, argv, "rosemaryshift-standin-platform", "Stands in for the platform's log, host list and reclaim notices.", readPlatformSettings);
}
