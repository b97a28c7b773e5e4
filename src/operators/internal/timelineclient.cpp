#include "operators/timelineclient.h"

#include "operators/operatorclient.h"

namespace rosemaryshift::operators {

namespace {

constexpr int StatusOk = 200;

std::optional<timeline::TimelinePage> readPage(const std::string &host, const std::string &token, timeline::Stamp since, std::string &reason)
{
    const std::optional<http::Endpoint> endpoint = http::Endpoint::parse(host);
    if (!endpoint) {
        reason = host + " is not an IP address and a port";
        return std::nullopt;
    }
    const std::optional<OperatorAnswer> answer = callOperator({*endpoint, token}, "GET", "/timeline?since=" + since.text(), {}, reason);
    if (!answer) {
        return std::nullopt;
    }
    if (answer->status != StatusOk) {
        reason = host + ": the host refused the call with status " + std::to_string(answer->status);
        return std::nullopt;
    }
    std::size_t skipped = 0;
    std::optional<timeline::TimelinePage> page = timeline::pageFromJson(answer->body, skipped);
    if (!page) {
        reason = host + ": the answer is not a timeline";
    } else if (skipped > 0) {
        reason = host + ": " + std::to_string(skipped) + " timeline events are malformed and were skipped";
    }
    return page;
}

}

FleetTimeline readTimelines(std::span<const std::string> hosts, const std::string &token, timeline::Stamp since)
{
    FleetTimeline fleet;
    for (const std::string &host : hosts) {
        std::string reason;
        std::optional<timeline::TimelinePage> page = readPage(host, token, since, reason);
        if (page) {
            fleet.pages.push_back(std::move(*page));
        }
        if (!reason.empty()) {
            fleet.faults.push_back(std::move(reason));
        }
    }
    return fleet;
}

}
