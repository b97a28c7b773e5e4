#pragma once

#include "base/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rosemaryshift::balancing {

/// How slow each upstream is, measured by all hosts together. A host of a large fleet meets one upstream too seldom to measure it alone, so that the hosts tell
/// each other their samples of the last seconds: the time that something took over the time that an average upstream is expected to take.
/// An upstream's slowness is the geometric mean of the samples and a prior of 1. No host sways it much: what one host states is bounded in weight and in its
/// distance from the median of the hosts. Not thread-safe.
class UpstreamSpeeds
{
public:
    /// Adds this host's sample. @p ratio: time taken over time expected; others than positive finite numbers are ignored. @p weight: 1 for one first event.
    void addSample(std::string_view instance, double ratio, double weight, TimePoint now);
    /// Records that the upstream states how long work takes at this moment, 1 meaning as usual.
    void noteStated(std::string_view instance, double slowness, TimePoint now);
    /// How long the upstream takes over the time of an average one, apart from what is particular to this moment.
    [[nodiscard]] double slowness(std::string_view instance, TimePoint now) const;
    /// How long work takes at this moment over what is usual for the upstream, as it has stated recently; nearer to 1 the older the statement is.
    [[nodiscard]] double momentarySlowness(std::string_view instance, TimePoint now) const;
    /// Drops what is known of an upstream that is gone or has restarted. What other hosts state of it is ignored until they have learnt of it too.
    void forgetUpstream(std::string_view instance, TimePoint now);

    /// This host's samples of the last seconds of each upstream that it has sampled lately, for the other hosts; empty when there are none.
    [[nodiscard]] std::string content(TimePoint now);
    /// Replaces what the host with this start has stated of the upstreams in @p content. Returns false, without an effect, when it is malformed.
    bool apply(std::string_view hostStart, std::string_view content, TimePoint now);
    /// Drops what a host that is gone has stated.
    void forgetHost(std::string_view hostStart);

private:
    /// Upstreams are named by a hash: names would fill most of the content.
    using Key = std::uint32_t;
    struct Sample {
        TimePoint at;
        double logRatio = 0;
        double weight = 0;
    };
    /// What an upstream has stated of the moment.
    struct Statement {
        double slowness = 1;
        TimePoint at;
    };
    struct Own {
        std::deque<Sample> samples; ///< Oldest first.
        std::optional<Statement> stated;
    };
    /// What one host knows of one upstream.
    struct View {
        std::string host;
        double logRatio = 0; ///< Mean of the host's samples.
        double weight = 0;
        TimePoint at; ///< Mean time of the samples.
        std::optional<Statement> stated;
    };
    struct Pooled {
        double slowness = 1;
        TimePoint until;
    };

    [[nodiscard]] static Key keyOf(std::string_view instance);
    [[nodiscard]] static std::optional<View> summary(const Own &own, TimePoint now);
    [[nodiscard]] static bool expired(const View &view, TimePoint now);
    [[nodiscard]] double pooled(Key key, TimePoint now) const;
    /// Drops what a host has stated of one upstream; if @p onlyExpired, only when it is too old. Returns whether nothing is left of it.
    bool dropView(std::string_view hostStart, Key key, bool onlyExpired, TimePoint now);

    std::unordered_map<Key, Own> m_own;
    std::unordered_map<Key, std::vector<View>> m_peers;
    std::map<std::string, std::vector<Key>, std::less<>> m_keysOfHost;
    std::unordered_map<Key, TimePoint> m_ignoredUntil; ///< Upstreams of which other hosts' statements may still concern an earlier run.
    mutable std::unordered_map<Key, Pooled> m_cache;
};

}
