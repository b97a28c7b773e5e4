#include "timeline/mergedtimeline.h"

#include "base/json.h"
#include "base/text.h"

#include <algorithm>
#include <array>
#include <functional>
#include <tuple>
#include <utility>

namespace rosemaryshift::timeline {

namespace {

/// Suffix of a duration and its length in milliseconds.
using UnitMs = std::pair<char, std::int64_t>;
constexpr std::array Units{UnitMs{'s', 1'000}, UnitMs{'m', 60'000}, UnitMs{'h', 3'600'000}};
/// Largest number of units that a duration may have.
constexpr std::uint64_t MaxUnits = 1'000'000;

bool passesFilter(const TimelineEvent &event, const TimelineFilter &filter)
{
    return (filter.request.empty() || event.fields.request == filter.request) && (filter.workspace.empty() || event.fields.workspace == filter.workspace);
}

bool isOrderedBefore(const MergedEvent &a, const MergedEvent &b)
{
    const TimelineEvent &first = a.event;
    const TimelineEvent &second = b.event;
    return std::tie(first.stamp, first.host, first.incarnation, first.sequence) < std::tie(second.stamp, second.host, second.incarnation, second.sequence);
}

/// Number of events lost before @p event, the first one of @p page. None are lost when the page begins after the oldest event that its process
/// stores, since the query then asked for later events only.
std::uint64_t lostBeforeFirst(const TimelinePage &page, const TimelineEvent &event)
{
    return event.sequence <= page.dropped ? event.sequence : 0;
}

std::string gapText(const MergedEvent &event)
{
    return event.event.stamp.text() + " " + event.event.host + " gap (" + std::to_string(event.lostBefore) + " events lost before this)";
}

std::string gapJson(const MergedEvent &event)
{
    Json::Value object;
    object["stamp"] = event.event.stamp.text();
    object["host"] = event.event.host;
    object["incarnation"] = event.event.incarnation;
    object["kind"] = "gap";
    object["lost"] = Json::UInt64(event.lostBefore);
    return rosemaryshift::toText(object);
}

/// Formats an event or the gap before it as one line.
using Render = std::function<std::string(const MergedEvent &)>;

std::vector<std::string> lines(std::span<const MergedEvent> events, const TimelineFilter &filter, const Render &gap, const Render &event)
{
    std::vector<std::string> rendered;
    for (const MergedEvent &merged : events) {
        if (merged.lostBefore > 0) {
            rendered.push_back(gap(merged));
        }
        if (passesFilter(merged.event, filter)) {
            rendered.push_back(event(merged));
        }
    }
    return rendered;
}

}

std::vector<MergedEvent> mergedEvents(std::span<const TimelinePage> pages)
{
    std::vector<MergedEvent> merged;
    for (const TimelinePage &page : pages) {
        const TimelineEvent *before = nullptr;
        for (const TimelineEvent &event : page.events) {
            const bool follows = before != nullptr && event.sequence > before->sequence;
            const std::uint64_t lost = before == nullptr ? lostBeforeFirst(page, event) : (follows ? event.sequence - before->sequence - 1 : 0);
            merged.push_back({event, lost});
            before = &event;
        }
    }
    std::ranges::sort(merged, isOrderedBefore);
    return merged;
}

std::vector<std::string> textLines(std::span<const MergedEvent> events, const TimelineFilter &filter)
{
    return lines(events, filter, gapText, [](const MergedEvent &merged) { return toText(merged.event); });
}

std::vector<std::string> jsonLines(std::span<const MergedEvent> events, const TimelineFilter &filter)
{
    return lines(events, filter, gapJson, [](const MergedEvent &merged) { return rosemaryshift::toText(toJson(merged.event)); });
}

std::optional<Stamp> parseSince(std::string_view text, std::int64_t nowMs)
{
    for (const auto &[unit, milliseconds] : Units) {
        if (text.ends_with(unit)) {
            const std::optional<std::uint64_t> count = parseUnsigned(text.substr(0, text.size() - 1));
            if (!count || *count > MaxUnits) {
                return std::nullopt;
            }
            return Stamp{std::max<std::int64_t>(0, nowMs - static_cast<std::int64_t>(*count) * milliseconds), 0};
        }
    }
    return Stamp::parse(text);
}

}
