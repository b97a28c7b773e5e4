#include "operators/timelineclient.h"
#include "program/program.h"
#include "timeline/gatewaylog.h"
#include "timeline/itimeline.h"
#include "timeline/mergedtimeline.h"

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace rosemaryshift;

namespace {

constexpr std::string_view Name = "rosemaryshift-timeline";
constexpr std::string_view Usage = R"(Prints one merged timeline of the events of all hosts, or explains from gateway logs how a request was handled.

Usage:
  rosemaryshift-timeline --token-file FILE [--request ID] [--workspace NAME] [--since TIME] [--json] HOST...
  rosemaryshift-timeline explain ID LOGFILE...
  rosemaryshift-timeline (--help | --version)

Options:
  --token-file FILE  File that holds the operators' token.
  --request ID       Only events of this request.
  --workspace NAME   Only events of this workspace.
  --since TIME       Only events from this stamp on, or not older than this, as in 90s, 15m or 2h [default: 0].
  --json             Print JSON.
  --help             Show this text.
  --version          Show the version.

HOST is a host's listener for operators, as in 127.0.0.1:9000. Events that a process no longer holds are shown as a gap.
ID is a request's attempt id, LOGFILE what a gateway wrote to standard output; text before the first brace of a line is ignored.
Exit codes: 0 done, 1 a host or file could not be read, wholly or in part, or no line names the request, 2 wrong command line.
)";

void print(const std::vector<std::string> &lines)
{
    for (const std::string &line : lines) {
        std::puts(line.c_str());
    }
}

int explain(const std::string &request, const std::vector<std::string> &files)
{
    std::vector<timeline::LogFile> texts;
    bool complete = true;
    for (const std::string &name : files) {
        std::ifstream file(name, std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        if (!file.is_open() || file.bad()) {
            std::fprintf(stderr, "%s: cannot be read\n", name.c_str());
            complete = false;
            continue;
        }
        texts.push_back({name, text.str()});
    }
    const std::vector<std::string> sentences = timeline::explainFromLogs(timeline::mergedLog(texts), request);
    if (sentences.empty()) {
        std::fprintf(stderr, "no log line names the request %s\n", request.c_str());
        return program::Failed;
    }
    print(sentences);
    return complete ? program::Success : program::Failed;
}

}

int main(int argc, char **argv)
{
    const program::Arguments arguments(Usage, std::span(argv, static_cast<std::size_t>(argc)), Name);
    if (arguments.flag("explain")) {
        return explain(arguments.text("ID"), arguments.texts("LOGFILE"));
    }
    std::string reason;
    const std::optional<std::string> token = program::readToken(arguments.text("--token-file"), reason);
    if (!token) {
        std::fprintf(stderr, "%s\n", reason.c_str());
        return program::BadUsage;
    }
    const std::optional<timeline::Stamp> since = timeline::parseSince(arguments.text("--since"), timeline::systemWallMs());
    if (!since) {
        std::fputs("--since must be a stamp or a length of time, as in 90s, 15m or 2h\n", stderr);
        return program::BadUsage;
    }
    const operators::FleetTimeline fleet = operators::readTimelines(arguments.texts("HOST"), *token, *since);
    for (const std::string &fault : fleet.faults) {
        std::fprintf(stderr, "%s\n", fault.c_str());
    }
    const timeline::TimelineFilter filter{arguments.text("--request"), arguments.text("--workspace")};
    const std::vector<timeline::MergedEvent> merged = timeline::mergedEvents(fleet.pages);
    print(arguments.flag("--json") ? timeline::jsonLines(merged, filter) : timeline::textLines(merged, filter));
    return fleet.faults.empty() ? program::Success : program::Failed;
}
