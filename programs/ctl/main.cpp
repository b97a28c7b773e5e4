#include "ctlconnection.h"
#include "templatecommands.h"

#include "base/json.h"
#include "operators/hoststatus.h"
#include "operators/timelineclient.h"
#include "timeline/explanation.h"

using namespace rosemaryshift;

namespace {

constexpr std::string_view Name = "rosemaryshift-ctl";
constexpr std::string_view Usage = R"(Publishes templates and shows the state of hosts.

Usage:
  rosemaryshift-ctl template check FILE [--host ADDRESS --token-file FILE --base REVISION]
  rosemaryshift-ctl template publish FILE --host ADDRESS --token-file FILE --author NAME --base REVISION [--change ID]
  rosemaryshift-ctl template show [WORKSPACE] --host ADDRESS --token-file FILE
  rosemaryshift-ctl template history WORKSPACE --host ADDRESS --token-file FILE
  rosemaryshift-ctl template diff WORKSPACE FILE --host ADDRESS --token-file FILE
  rosemaryshift-ctl template diff WORKSPACE --from REVISION --to REVISION --host ADDRESS --token-file FILE
  rosemaryshift-ctl status --host ADDRESS --token-file FILE [--json]
  rosemaryshift-ctl explain REQUEST --token-file FILE HOST...
  rosemaryshift-ctl (--help | --version)

Options:
  --host ADDRESS     A host's listener for operators, as in 127.0.0.1:9000.
  --token-file FILE  File that holds the operators' token.
  --author NAME      Committee member who makes the change.
  --base REVISION    Revision the change is made on; 0 for a new workspace.
  --change ID        Id of an earlier change whose answer was lost, to get its verdict.
  --from REVISION    Revision to compare from.
  --to REVISION      Revision to compare with.
  --json             Print JSON.
  --help             Show this text.
  --version          Show the version.

REQUEST is the id in an answer's Rosemaryshift-Request; HOST has the form of ADDRESS. Name all hosts to get the complete explanation.
Exit codes: 0 done, 1 refused, not reachable or not known, 2 wrong command line or template.
)";

int status(const program::Arguments &arguments)
{
    const std::optional<operators::OperatorTarget> target = ctl::readTarget(arguments);
    const std::optional<Json::Value> answer = target ? ctl::call(*target, "GET", "/v1/status", {}) : std::nullopt;
    if (!answer) {
        return program::Failed;
    }
    if (arguments.flag("--json")) {
        ctl::print(toText(*answer) + "\n");
        return program::Success;
    }
    const std::optional<operators::HostStatus> read = operators::statusFromJson(*answer);
    if (!read) {
        ctl::printError("the host's status answer cannot be parsed");
        return program::Failed;
    }
    ctl::print(operators::statusText(*read));
    return program::Success;
}

int explain(const program::Arguments &arguments)
{
    std::string reason;
    const std::optional<std::string> token = program::readToken(arguments.text("--token-file"), reason);
    if (!token) {
        ctl::printError(reason);
        return program::BadUsage;
    }
    const operators::FleetTimeline fleet = operators::readTimelines(arguments.texts("HOST"), *token, {});
    for (const std::string &fault : fleet.faults) {
        ctl::printError(fault);
    }
    const std::vector<timeline::MergedEvent> events = timeline::mergedEvents(fleet.pages);
    const std::vector<std::string> sentences = timeline::explainRequest(events, arguments.text("REQUEST"));
    for (const std::string &sentence : sentences) {
        ctl::print(sentence + "\n");
    }
    if (sentences.empty()) {
        ctl::printError("no timeline event of the given hosts names this request");
    }
    return sentences.empty() || !fleet.faults.empty() ? program::Failed : program::Success;
}

}

int main(int argc, char **argv)
{
    const program::Arguments arguments(Usage, std::span(argv, static_cast<std::size_t>(argc)), Name);
    if (arguments.flag("explain")) {
        return explain(arguments);
    }
    return arguments.flag("status") ? status(arguments) : ctl::runTemplateCommand(arguments);
}
