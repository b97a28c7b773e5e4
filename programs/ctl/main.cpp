#include "base/json.h"
#include "base/text.h"
#include "operators/operatorclient.h"
#include "operators/timelineclient.h"
#include "program/program.h"
#include "templates/itemplatefold.h"
#include "timeline/explanation.h"

#include <cstdio>

using namespace rosemaryshift;

namespace {

constexpr std::string_view Name = "rosemaryshift-ctl";
constexpr std::size_t MaxTemplateBytes = 1024 * 1024;
constexpr std::string_view Usage = R"(Publishes templates and shows the state of hosts.

Usage:
  rosemaryshift-ctl template check FILE
  rosemaryshift-ctl template publish FILE --host ADDRESS --token-file FILE --author NAME --base REVISION [--change ID]
  rosemaryshift-ctl template show [WORKSPACE] --host ADDRESS --token-file FILE
  rosemaryshift-ctl status --host ADDRESS --token-file FILE [--json]
  rosemaryshift-ctl explain REQUEST --token-file FILE HOST...
  rosemaryshift-ctl (--help | --version)

Options:
  --host ADDRESS     A host's listener for operators, as in 127.0.0.1:9000.
  --token-file FILE  File that holds the operators' token.
  --author NAME      Committee member who makes the change.
  --base REVISION    Revision the change is made on; 0 for a new workspace.
  --change ID        Id of a change whose answer was lost, to learn its verdict.
  --json             Print JSON.
  --help             Show this text.
  --version          Show the version.

REQUEST is the id in an answer's Rosemaryshift-Request; HOST is as ADDRESS. Name all hosts for the whole account.
Exit codes: 0 done, 1 refused, not reachable or not known, 2 wrong command line or template.
)";

void print(std::string_view text)
{
    std::fwrite(text.data(), 1, text.size(), stdout);
}

void complain(std::string_view text)
{
    std::fwrite(text.data(), 1, text.size(), stderr);
    std::fputc('\n', stderr);
}

std::optional<templates::WorkspaceTemplate> checkTemplate(const std::string &file, std::string &text)
{
    std::string reason;
    std::optional<std::string> read = readFile(file, MaxTemplateBytes, reason);
    if (!read) {
        complain(reason);
        return std::nullopt;
    }
    text = std::move(*read);
    std::vector<SettingsError> errors;
    std::optional<templates::WorkspaceTemplate> parsed = templates::parseTemplate(text, file, errors);
    for (const SettingsError &error : errors) {
        complain(error.text());
    }
    return parsed;
}

std::optional<operators::OperatorTarget> readTarget(const program::Arguments &arguments)
{
    const std::optional<http::Endpoint> endpoint = http::Endpoint::parse(arguments.text("--host"));
    if (!endpoint) {
        complain("--host must be an IP address and a port");
        return std::nullopt;
    }
    std::string reason;
    std::optional<std::string> token = program::readToken(arguments.text("--token-file"), reason);
    if (!token) {
        complain(reason);
        return std::nullopt;
    }
    return operators::OperatorTarget{*endpoint, std::move(*token)};
}

std::optional<Json::Value> call(const operators::OperatorTarget &target, const std::string &method, const std::string &path, const Json::Value &body)
{
    std::string reason;
    std::optional<operators::OperatorAnswer> answer = operators::callOperator(target, method, path, body, reason);
    if (!answer) {
        complain(reason);
        return std::nullopt;
    }
    if (answer->body.isObject() && answer->body.isMember("error")) {
        complain(stringMember(answer->body["error"], "message").value_or("the host refused the call"));
        return std::nullopt;
    }
    return std::move(answer->body);
}

int publish(const program::Arguments &arguments)
{
    std::string text;
    const std::optional<templates::WorkspaceTemplate> content = checkTemplate(arguments.text("FILE"), text);
    const std::optional<std::uint64_t> base = parseUnsigned(arguments.text("--base"));
    if (!content || !base) {
        complain(content ? "--base must be a revision" : "the template was not published");
        return program::BadUsage;
    }
    const std::optional<operators::OperatorTarget> target = readTarget(arguments);
    if (!target) {
        return program::BadUsage;
    }
    const std::string change = arguments.text("--change").empty() ? randomId() : arguments.text("--change");
    Json::Value body;
    body["workspace"] = content->workspace;
    body["base"] = Json::UInt64(*base);
    body["change"] = change;
    body["author"] = arguments.text("--author");
    body["text"] = text;
    const std::optional<Json::Value> answer = call(*target, "POST", "/v1/templates", body);
    if (!answer) {
        complain("change " + change + " may or may not be published; publish again with --change " + change);
        return program::Failed;
    }
    const std::string verdict = stringMember(*answer, "verdict").value_or("unknown");
    print("change " + change + ": " + verdict + ", revision " + std::to_string(unsignedMember(*answer, "revision").value_or(0)) + "\n");
    if (verdict == "accepted") {
        return program::Success;
    }
    complain(stringMember(*answer, "reason").value_or(""));
    return program::Failed;
}

int showTemplates(const program::Arguments &arguments)
{
    const std::optional<operators::OperatorTarget> target = readTarget(arguments);
    const std::optional<Json::Value> answer = target ? call(*target, "GET", "/v1/templates", {}) : std::nullopt;
    if (!answer) {
        return program::Failed;
    }
    const std::string workspace = arguments.text("WORKSPACE");
    for (const Json::Value &row : (*answer)["templates"]) {
        if (workspace.empty() || row["workspace"] == workspace) {
            print("# " + row["workspace"].asString() + " revision " + std::to_string(row["revision"].asUInt64()) + " by " + row["author"].asString() + "\n"
                  + row["text"].asString() + "\n");
        }
    }
    return program::Success;
}

int status(const program::Arguments &arguments)
{
    const std::optional<operators::OperatorTarget> target = readTarget(arguments);
    const std::optional<Json::Value> answer = target ? call(*target, "GET", "/v1/status", {}) : std::nullopt;
    if (!answer) {
        return program::Failed;
    }
    if (arguments.flag("--json")) {
        print(toText(*answer) + "\n");
        return program::Success;
    }
    print(std::string((*answer)["ready"].asBool() ? "ready" : "not ready") + ", " + (*answer)["open_requests"].asString() + " open requests, log "
          + ((*answer)["log_reachable"].asBool() ? "reachable" : "out") + "\n");
    for (const Json::Value &row : (*answer)["upstreams"]) {
        print("upstream " + row["name"].asString() + " zone " + row["zone"].asString() + " " + row["state"].asString() + "\n");
    }
    for (const Json::Value &row : (*answer)["templates"]) {
        print("workspace " + row["workspace"].asString() + " revision " + row["revision"].asString() + " by " + row["author"].asString() + "\n");
    }
    return program::Success;
}

int explain(const program::Arguments &arguments)
{
    std::string reason;
    const std::optional<std::string> token = program::readToken(arguments.text("--token-file"), reason);
    if (!token) {
        complain(reason);
        return program::BadUsage;
    }
    const operators::FleetTimeline fleet = operators::readTimelines(arguments.texts("HOST"), *token, {});
    for (const std::string &fault : fleet.faults) {
        complain(fault);
    }
    const std::vector<timeline::MergedEvent> events = timeline::mergedEvents(fleet.pages);
    const std::vector<std::string> sentences = timeline::explainRequest(events, arguments.text("REQUEST"));
    for (const std::string &sentence : sentences) {
        print(sentence + "\n");
    }
    if (sentences.empty()) {
        complain("no event of the hosts asked names this request");
    }
    return sentences.empty() || !fleet.faults.empty() ? program::Failed : program::Success;
}

}

int main(int argc, char **argv)
{
    const program::Arguments arguments(Usage, std::span(argv, static_cast<std::size_t>(argc)), Name);
    if (arguments.flag("check")) {
        std::string text;
        return checkTemplate(arguments.text("FILE"), text) ? program::Success : program::BadUsage;
    }
    if (arguments.flag("publish")) {
        return publish(arguments);
    }
    if (arguments.flag("explain")) {
        return explain(arguments);
    }
    return arguments.flag("status") ? status(arguments) : showTemplates(arguments);
}
