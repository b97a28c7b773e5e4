#include "limits/connectionshare.h"

#include <algorithm>

namespace rosemaryshift::limits {

std::uint32_t connectionShare(std::uint32_t maxConnections, std::size_t hosts)
{
    if (maxConnections == 0) {
        return 0;
    }
    return std::max(1U, maxConnections / static_cast<std::uint32_t>(std::max<std::size_t>(hosts, 1)));
}

}
