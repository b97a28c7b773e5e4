#pragma once

#include "rollouts/evidence.h"
#include "rollouts/rollouttypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::rollouts {

/// What one host tells the others about one roll-out.
struct Report {
    OrderId id = 0;
    Order order;
    std::optional<std::chrono::milliseconds> age; ///< Time since the order, when known.
    State state = State::Unknown;
    bool recorded = false;         ///< The state is final and stands in the log.
    std::uint64_t holderToken = 0; ///< Fencing token of the sender while it holds the duties; 0 otherwise.
    Evidence evidence;             ///< What the sender has seen itself.

    bool operator==(const Report &) const = default;
};

/// Encodes reports for a status. Thread-safe.
std::string encoded(const std::vector<Report> &reports);
/// Decodes reports; nothing when they are malformed or a value is out of range. Thread-safe.
std::optional<std::vector<Report>> decodedReports(std::string_view bytes);

}
