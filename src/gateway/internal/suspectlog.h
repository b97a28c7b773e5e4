#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "quarantine/suspectrecords.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <vector>

namespace rosemaryshift::gateway {

/// Reads and appends the records of suspects in the platform's log: one for each suspect in quarantine, and one for each host with its evidence against
/// others. Records state when they were written, by the hosts' common clock. A call that fails is logged. Used from the gateway's thread.
class SuspectLog
{
public:
    /// A record, and the time since it was written.
    struct Verdict {
        quarantine::VerdictRecord record;
        Duration age{0};
    };
    struct Evidence {
        quarantine::EvidenceRecord record;
        Duration age{0};
    };
    /// All records.
    struct Contents {
        std::map<quarantine::SuspectId, Verdict> verdicts;
        std::vector<Evidence> evidence; ///< Of each host that has some.
        std::uint64_t endOffset = 0;    ///< End of the topic.
    };

    explicit SuspectLog(GatewayContext &context);

    /// Reads the records; nothing when they can't be read.
    boost::asio::awaitable<std::optional<Contents>> read();
    /// Appends what this host knows of a suspect in quarantine, or a tombstone if it is not in quarantine. With @p expectedEnd, only if the topic ends there.
    /// Returns nothing when it is not certain what has come of it.
    boost::asio::awaitable<std::optional<ports::AppendOutcome>> appendVerdict(quarantine::SuspectId suspect, std::optional<std::uint64_t> expectedEnd);
    /// Appends the evidence of this host, or a tombstone if there is none. Returns whether it was appended.
    boost::asio::awaitable<bool> appendEvidence(quarantine::EvidenceRecord evidence);

private:
    boost::asio::awaitable<std::optional<ports::AppendOutcome>> append(ports::Record record, std::optional<std::uint64_t> expectedEnd);
    [[nodiscard]] std::int64_t wallMs(TimePoint now) const;

    GatewayContext &m_context;
};

}
