#pragma once

#include "requests/requesttypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace rosemaryshift::replication {

/// What another host needs to go on with an accepted request.
struct ReplicaRecord {
    std::string id;
    std::string owner; ///< Host and incarnation that acts on the request, "name.incarnation".
    requests::RequestSpec spec;
    std::chrono::steady_clock::time_point deadline; ///< By this host's clock.
    std::vector<requests::ResponseChunk> chunks;    ///< The answer so far.
};

struct ReplicationSettings {
    std::size_t chunksPerCopy = 16; ///< New chunks of an answer after which they are copied.
    std::size_t maxKept = 20'000;   ///< Records of other hosts.
    std::chrono::milliseconds tick{50};
    std::chrono::milliseconds callTimeout{1'000};
    std::chrono::milliseconds retryDelay{1'000}; ///< After no host could keep a record.
};

}
