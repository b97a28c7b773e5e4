#pragma once

#include "gossip/istatuschannel.h"
#include "secondtries/timecounts.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace rosemaryshift::secondtries {

/// Requests whose answers take similar times to begin.
struct RequestClass {
    std::string_view service;
    bool streams = false;           ///< The answer is a stream, whose first event counts; otherwise the head of the answer.
    std::uint64_t promptTokens = 0; ///< Zero for services that are not engines; counted by its order of magnitude.
};

/// Identifies a class of requests; the same at all hosts. Thread-safe.
std::uint32_t classKey(const RequestClass &requests);

/// The times that requests waited for the beginning of their answer over the last seconds, at all hosts. One host alone sees too few. The current time is
/// passed to each call. Not thread-safe.
class TimesSeen : public gossip::IStatusChannel
{
public:
    /// Records that a request of the class @p key waited for @p time, until its answer began or, with @p left, until its upstream was left without one.
    void note(std::uint32_t key, Duration time, bool left, TimePoint now);
    /// What all hosts have seen of the class @p key.
    [[nodiscard]] TimeCounts counts(std::uint32_t key, TimePoint now);

    [[nodiscard]] gossip::StatusChannelId id() const override;
    [[nodiscard]] std::string_view name() const override;
    [[nodiscard]] std::string content(TimePoint now) override;
    bool apply(std::string_view hostStart, std::string_view content, TimePoint now) override;
    void forget(std::string_view hostStart) override;

private:
    using CountsByClass = std::map<std::uint32_t, TimeCounts>;

    struct Slice {
        TimePoint began;
        CountsByClass counts;
    };
    struct PeerCounts {
        TimePoint heardAt;
        CountsByClass counts;
    };

    void expire(TimePoint now);
    [[nodiscard]] CountsByClass own() const;

    std::deque<Slice> m_slices; ///< This host's counts, the oldest first.
    std::map<std::string, PeerCounts, std::less<>> m_peers;
};

}
