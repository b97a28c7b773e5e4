#pragma once

#include "requests/requesttypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace rosemaryshift::replication {

/// All that another host needs to continue an accepted request.
struct ReplicaRecord {
    std::string id;    ///< Id of the request.
    std::string owner; ///< Host and incarnation that runs the request, "name.incarnation".
    requests::RequestSpec spec;
    std::chrono::steady_clock::time_point deadline; ///< Deadline of the request by the steady clock of the host that holds the record.
    std::vector<requests::ResponseChunk> chunks;    ///< The answer so far.
};

/// Limits and times of replication.
struct ReplicationSettings {
    std::size_t chunksPerCopy = 16;               ///< Number of new chunks of an answer that triggers a copy.
    std::size_t maxReplicas = 20'000;             ///< Largest number of replicas held for other hosts.
    std::chrono::milliseconds tick{50};           ///< Interval between two checks for records to copy or expire.
    std::chrono::milliseconds callTimeout{1'000}; ///< Limit of one call to another host.
    std::chrono::milliseconds retryDelay{1'000};  ///< Delay before the next attempt after no host stored a replica.
};

}
