#pragma once

#include "gossip/istatuschannel.h"

#include <map>
#include <string>

namespace rosemaryshift::gateway {

/// Tells the other hosts what this host's network link carries, and the other way round, so that hosts with fast links read the log for the others. Used from
/// the gateway's only thread.
class HostLinks : public gossip::IStatusChannel
{
public:
    /// @p megabits: what this host's link carries in a second; 0 when not known.
    explicit HostLinks(std::uint64_t megabits);

    [[nodiscard]] gossip::StatusChannelId id() const override;
    [[nodiscard]] std::string_view name() const override;
    [[nodiscard]] std::string content(TimePoint now) override;
    bool apply(std::string_view hostStart, std::string_view content, TimePoint now) override;
    void forget(std::string_view hostStart) override;

    /// What this host's link carries, in megabits per second; 0 when not known.
    [[nodiscard]] std::uint64_t own() const;
    /// The same of the host process @p hostStart.
    [[nodiscard]] std::uint64_t of(const std::string &hostStart) const;

private:
    const std::uint64_t m_own;
    std::map<std::string, std::uint64_t, std::less<>> m_others; ///< By host process.
};

}
