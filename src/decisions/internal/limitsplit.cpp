#include "decisions/limitsplit.h"

namespace rosemaryshift::decisions {

namespace {

/// Even parts; the first ranks get one more while a rest is left.
std::uint32_t evenPart(std::uint32_t whole, std::uint32_t parts, std::uint32_t rank)
{
    return whole / parts + (rank < whole % parts ? 1 : 0);
}

}

std::uint32_t shareOfLimit(std::uint32_t limit, const HostPosition &place)
{
    return evenPart(evenPart(limit, place.zones, place.zoneRank), place.hostsInZone, place.hostRank);
}

}
