#include "standins/standinengine.h"
#include "standins/standinprogram.h"

using namespace rosemaryshift::standins;

int main(int argc, char **argv)
{
    return runStandin<StandinEngine>(argc, argv, "rosemaryshift-standin-engine", "Stands in for a model engine in tests and demos.", readEngineSettings);
}
