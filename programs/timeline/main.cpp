#include "base/json.h"
#include "operators/operatorclient.h"
#include "program/program.h"
#include "timeline/timelinejson.h"

#include <algorithm>
#include <cstdio>

using namespace rosemaryshift;
using timeline::TimelineEvent;

namespace {

constexpr std::string_view Name = "rosemaryshift-timeline";
constexpr std::string_view Usage = R"(Prints one time line of events over all hosts.

Usage:
  rosemaryshift-timeline --token-file FILE [--request ID] [--workspace NAME] [--since STAMP] [--json] HOST...
  rosemaryshift-timeline (--help | --version)

Options:
  --token-file FILE  File that holds the operators' token.
  --request ID       Only events of this request.
  --workspace NAME   Only events of this workspace.
  --since STAMP      Only events from this stamp on [default: 0].
  --json             Print JSON.
  --help             Show this text.
  --version          Show the version.

HOST is a host's listener for operators, as in 127.0.0.1:9000.
Exit codes: 0 done, 1 a host could not be read, 2 wrong command line.
)";

bool wanted(const TimelineEvent &event, const std::string &request, const std::string &workspace)
{
    return (request.empty() || event.fields.request == request) && (workspace.empty() || event.fields.workspace == workspace);
}

std::optional<timeline::TimelinePage> readPage(const std::string &host, const std::string &token, const std::string &since, std::string &reason)
{
    const std::optional<http::Endpoint> endpoint = http::Endpoint::parse(host);
    if (!endpoint) {
        reason = host + " is not an IP address and a port";
        return std::nullopt;
    }
    const std::optional<operators::OperatorAnswer> answer = operators::callOperator({*endpoint, token}, "GET", "/timeline?since=" + since, {}, reason);
    if (!answer) {
        return std::nullopt;
    }
    std::size_t skipped = 0;
    std::optional<timeline::TimelinePage> page = timeline::pageFromJson(answer->body, skipped);
    if (!page) {
        reason = host + ": the time line cannot be read";
    }
    return page;
}

void print(const std::vector<TimelineEvent> &events, bool json)
{
    for (const TimelineEvent &event : events) {
        const std::string line = json ? toText(timeline::toJson(event)) : timeline::toText(event);
        std::puts(line.c_str());
    }
}

}

int main(int argc, char **argv)
{
    const program::Arguments arguments(Usage, std::span(argv, static_cast<std::size_t>(argc)), Name);
    std::string reason;
    const std::optional<std::string> token = program::readToken(arguments.text("--token-file"), reason);
    if (!token) {
        std::fprintf(stderr, "%s\n", reason.c_str());
        return program::BadUsage;
    }
    int code = program::Success;
    std::vector<TimelineEvent> merged;
    for (const std::string &host : arguments.texts("HOST")) {
        const std::optional<timeline::TimelinePage> page = readPage(host, *token, arguments.text("--since"), reason);
        if (!page) {
            std::fprintf(stderr, "%s\n", reason.c_str());
            code = program::Failed;
            continue;
        }
        if (page->dropped > 0) {
            std::fprintf(stderr, "%s: %llu older events are lost\n", host.c_str(), static_cast<unsigned long long>(page->dropped));
        }
        std::ranges::copy_if(page->events, std::back_inserter(merged), [&](const TimelineEvent &event) {
            return wanted(event, arguments.text("--request"), arguments.text("--workspace"));
        });
    }
    timeline::sortByStamp(merged);
    print(merged, arguments.flag("--json"));
    return code;
}
