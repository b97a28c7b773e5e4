#include "decisions/limitsplit.h"

namespace rosemaryshift::decisions {

namespace {

/// Returns the part of @p whole for @p rank when it is split evenly; the remainder is distributed one each to the lowest ranks.
std::uint32_t evenPart(std::uint32_t whole, std::uint32_t parts, std::uint32_t rank)
{
    return whole / parts + (rank < whole % parts ? 1 : 0);
}

}

std::uint32_t shareOfLimit(std::uint32_t limit, const HostPosition &position)
{
    return evenPart(evenPart(limit, position.zones, position.zoneRank), position.hostsInZone, position.hostRank);
}

}
