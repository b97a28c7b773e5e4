#include "standins/standinprogram.h"
#include "standins/standinservice.h"

using namespace rosemaryshift::standins;

int main(int argc, char **argv)
{
    return runStandin<StandinService>(argc, argv, "rosemaryshift-standin-service", "Stands in for a booking service in tests and demos.", readServiceSettings);
}
