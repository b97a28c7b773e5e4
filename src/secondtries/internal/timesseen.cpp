#include "secondtries/timesseen.h"

#include "base/rendezvous.h"
#include "base/text.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <vector>

namespace rosemaryshift::secondtries {

namespace {

/// Time over which requests are counted, and the parts by which old ones are dropped.
constexpr std::chrono::seconds Window{15};
constexpr std::chrono::seconds SliceLength{3};
/// Maximum number of classes in the content; those with the most requests are told.
constexpr std::size_t MaxClasses = 6;
/// Largest accepted number of requests that one host counts in one bucket.
constexpr std::uint64_t MaxCount = 100'000;

/// Splits off the part of @p text before @p separator, or all of it.
std::string_view takePart(std::string_view &text, char separator)
{
    const std::size_t end = std::min(text.find(separator), text.size());
    const std::string_view part = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

std::optional<std::uint32_t> parseCount(std::string_view text)
{
    const std::optional<std::uint64_t> count = parseUnsigned(text);
    return count && *count <= MaxCount ? std::optional<std::uint32_t>(static_cast<std::uint32_t>(*count)) : std::nullopt;
}

/// Reads a bucket, as INDEX=ANSWERED or INDEX=ANSWERED+LEFT, into @p counts. Returns false when it is malformed.
bool parseBucket(std::string_view text, TimeCounts &counts)
{
    const std::optional<std::uint64_t> index = parseUnsigned(takePart(text, '='));
    const bool hasLeft = text.find('+') != std::string_view::npos;
    const std::optional<std::uint32_t> answered = parseCount(takePart(text, '+'));
    const std::optional<std::uint32_t> left = hasLeft ? parseCount(text) : 0U;
    if (!index || *index >= TimeCounts::BucketCount || !answered || !left) {
        return false;
    }
    counts[*index] = {*answered, *left};
    return true;
}

std::string formatCounts(const TimeCounts &counts)
{
    std::string text;
    for (std::size_t i = 0; i < TimeCounts::BucketCount; ++i) {
        const TimeCounts::Bucket &bucket = counts[i];
        if (bucket == TimeCounts::Bucket{}) {
            continue;
        }
        text += text.empty() ? "" : ",";
        text += std::to_string(i);
        text += '=';
        text += std::to_string(bucket.answered);
        if (bucket.left > 0) {
            text += '+';
            text += std::to_string(bucket.left);
        }
    }
    return text;
}

}

std::uint32_t classKey(const RequestClass &requests)
{
    const std::uint64_t size = static_cast<std::uint64_t>(std::bit_width(requests.promptTokens));
    return static_cast<std::uint32_t>(rendezvousWeight(size * 2 + (requests.streams ? 1 : 0), requests.service));
}

void TimesSeen::note(std::uint32_t key, Duration time, bool left, TimePoint now)
{
    expire(now);
    if (m_slices.empty() || now - m_slices.back().began >= SliceLength) {
        m_slices.push_back({now, {}});
    }
    TimeCounts::Bucket &bucket = m_slices.back().counts[key][TimeCounts::bucketOf(time)];
    ++(left ? bucket.left : bucket.answered);
}

TimeCounts TimesSeen::counts(std::uint32_t key, TimePoint now)
{
    expire(now);
    TimeCounts sum;
    const auto addFrom = [&sum, key](const CountsByClass &counts) {
        if (const auto found = counts.find(key); found != counts.end()) {
            sum.add(found->second);
        }
    };
    for (const Slice &slice : m_slices) {
        addFrom(slice.counts);
    }
    for (const auto &[host, peer] : m_peers) {
        addFrom(peer.counts);
    }
    return sum;
}

gossip::StatusChannelId TimesSeen::id() const
{
    return gossip::StatusChannelId::SecondTries;
}

std::string_view TimesSeen::name() const
{
    return "second_tries";
}

std::string TimesSeen::content(TimePoint now)
{
    expire(now);
    const CountsByClass counts = own();
    std::vector<std::pair<std::uint64_t, std::uint32_t>> classes;
    for (const auto &[key, times] : counts) {
        classes.emplace_back(times.total(), key);
    }
    std::ranges::sort(classes, std::greater());
    classes.resize(std::min(classes.size(), MaxClasses));
    std::string text;
    for (const auto &[total, key] : classes) {
        text += text.empty() ? "" : ";";
        text += hexadecimal(key);
        text += ':';
        text += formatCounts(counts.at(key));
    }
    return text;
}

bool TimesSeen::apply(std::string_view hostStart, std::string_view content, TimePoint now)
{
    PeerCounts peer{now, {}};
    while (!content.empty()) {
        std::string_view times = takePart(content, ';');
        const std::optional<std::uint64_t> key = parseHexadecimal(takePart(times, ':'));
        if (!key || *key > UINT32_MAX || times.empty() || peer.counts.size() >= MaxClasses) {
            return false;
        }
        TimeCounts &counts = peer.counts[static_cast<std::uint32_t>(*key)];
        while (!times.empty()) {
            if (!parseBucket(takePart(times, ','), counts)) {
                return false;
            }
        }
    }
    m_peers.insert_or_assign(std::string(hostStart), std::move(peer));
    return true;
}

void TimesSeen::forget(std::string_view hostStart)
{
    if (const auto found = m_peers.find(hostStart); found != m_peers.end()) {
        m_peers.erase(found);
    }
}

void TimesSeen::expire(TimePoint now)
{
    while (!m_slices.empty() && now - m_slices.front().began > Window) {
        m_slices.pop_front();
    }
    std::erase_if(m_peers, [now](const auto &peer) { return now - peer.second.heardAt > Window; });
}

TimesSeen::CountsByClass TimesSeen::own() const
{
    CountsByClass sum;
    for (const Slice &slice : m_slices) {
        for (const auto &[key, counts] : slice.counts) {
            sum[key].add(counts);
        }
    }
    return sum;
}

}
