#include "templatecommands.h"

#include "base/json.h"
#include "base/text.h"
#include "ctlconnection.h"
#include "templates/templatechecks.h"
#include "templates/templaterecords.h"
#include "templates/textdiff.h"

namespace rosemaryshift::ctl {

namespace {

constexpr std::size_t MaxTemplateBytes = 1024 * 1024;

std::optional<templates::WorkspaceTemplate> readTemplate(const std::string &file, std::string &text)
{
    std::string reason;
    std::optional<std::string> read = readFile(file, MaxTemplateBytes, reason);
    if (!read) {
        printError(reason);
        return std::nullopt;
    }
    text = std::move(*read);
    std::vector<SettingsError> errors;
    std::optional<templates::WorkspaceTemplate> parsed = templates::parseTemplate(text, file, errors);
    for (const SettingsError &error : errors) {
        printError(error.text());
    }
    return parsed;
}

Json::Value changeBody(const std::string &file, const std::string &workspace, const std::string &text, std::uint64_t base)
{
    Json::Value body;
    body["workspace"] = workspace;
    body["base"] = Json::UInt64(base);
    body["change"] = randomId();
    body["author"] = "";
    body["file"] = file;
    body["text"] = text;
    return body;
}

std::optional<std::vector<templates::StatedRevision>> fetchHistory(const operators::OperatorTarget &target, const std::string &workspace)
{
    const std::optional<Json::Value> answer = call(target, "GET", "/v1/templates/history?workspace=" + workspace, {});
    if (!answer) {
        return std::nullopt;
    }
    std::vector<templates::StatedRevision> revisions;
    for (const Json::Value &row : (*answer)["revisions"]) {
        std::optional<templates::StatedRevision> revision = templates::statedRevisionFromJson(row);
        if (revision) {
            revisions.push_back(std::move(*revision));
        }
    }
    if (revisions.empty()) {
        printError("the host has no template of workspace " + workspace);
        return std::nullopt;
    }
    return revisions;
}

std::string revisionHeading(const templates::StatedRevision &revision)
{
    return revision.workspace + " revision " + std::to_string(revision.revision) + " by " + revision.author + ", change " + revision.changeId;
}

const templates::StatedRevision *findRevision(const std::vector<templates::StatedRevision> &revisions, std::uint64_t number)
{
    for (const templates::StatedRevision &revision : revisions) {
        if (revision.revision == number) {
            return &revision;
        }
    }
    printError("revision " + std::to_string(number) + " is not in the template history of the host");
    return nullptr;
}

int check(const program::Arguments &arguments)
{
    const std::string file = arguments.text("FILE");
    std::string text;
    const std::optional<templates::WorkspaceTemplate> content = readTemplate(file, text);
    if (!content) {
        return program::BadUsage;
    }
    if (arguments.text("--host").empty()) {
        return program::Success;
    }
    const std::optional<operators::OperatorTarget> target = readTarget(arguments);
    const std::optional<std::uint64_t> base = parseUnsigned(arguments.text("--base"));
    if (!target || !base) {
        printError("--host needs --token-file and --base");
        return program::BadUsage;
    }
    const std::optional<Json::Value> answer = call(*target, "POST", "/v1/templates/check", changeBody(file, content->workspace, text, *base));
    if (!answer) {
        return program::Failed;
    }
    if (answer->isMember("reason")) {
        printError((*answer)["reason"].asString());
        return program::BadUsage;
    }
    return program::Success;
}

int publish(const program::Arguments &arguments)
{
    const std::string file = arguments.text("FILE");
    std::string text;
    const std::optional<templates::WorkspaceTemplate> content = readTemplate(file, text);
    const std::optional<std::uint64_t> base = parseUnsigned(arguments.text("--base"));
    if (!content || !base) {
        printError(content ? "--base must be a revision" : "the template was not published");
        return program::BadUsage;
    }
    const std::optional<operators::OperatorTarget> target = readTarget(arguments);
    if (!target) {
        return program::BadUsage;
    }
    Json::Value body = changeBody(file, content->workspace, text, *base);
    body["author"] = arguments.text("--author");
    if (!arguments.text("--change").empty()) {
        body["change"] = arguments.text("--change");
    }
    const std::string change = body["change"].asString();
    const std::optional<Json::Value> answer = call(*target, "POST", "/v1/templates", body);
    if (!answer) {
        printError("change " + change + " may or may not be published; publish again with --change " + change);
        return program::Failed;
    }
    const std::string verdict = stringMember(*answer, "verdict").value_or("unknown");
    print("change " + change + ": " + verdict + ", revision " + std::to_string(unsignedMember(*answer, "revision").value_or(0)) + "\n");
    if (verdict == "accepted") {
        return program::Success;
    }
    printError(stringMember(*answer, "reason").value_or(""));
    if (verdict == "unknown") {
        printError("publish again with --change " + change + " to learn the verdict");
    }
    return program::Failed;
}

int show(const program::Arguments &arguments, const operators::OperatorTarget &target)
{
    const std::optional<Json::Value> answer = call(target, "GET", "/v1/templates", {});
    if (!answer) {
        return program::Failed;
    }
    const std::string workspace = arguments.text("WORKSPACE");
    for (const Json::Value &row : (*answer)["templates"]) {
        const std::optional<templates::StatedRevision> revision = templates::statedRevisionFromJson(row);
        if (revision && (workspace.empty() || revision->workspace == workspace)) {
            print("# " + revisionHeading(*revision) + "\n" + revision->text + "\n");
        }
    }
    return program::Success;
}

int history(const program::Arguments &arguments, const operators::OperatorTarget &target)
{
    const std::optional<std::vector<templates::StatedRevision>> revisions = fetchHistory(target, arguments.text("WORKSPACE"));
    if (!revisions) {
        return program::Failed;
    }
    for (const templates::StatedRevision &revision : *revisions) {
        print(revisionHeading(revision) + ", log offset " + std::to_string(revision.offset) + "\n");
    }
    return program::Success;
}

/// Prints the difference between the last revision and FILE, or between the revisions --from and --to.
int diff(const program::Arguments &arguments, const operators::OperatorTarget &target)
{
    const std::optional<std::vector<templates::StatedRevision>> revisions = fetchHistory(target, arguments.text("WORKSPACE"));
    if (!revisions) {
        return program::Failed;
    }
    if (!arguments.text("FILE").empty()) {
        std::string text;
        if (!readTemplate(arguments.text("FILE"), text)) {
            return program::BadUsage;
        }
        print(templates::textDiff(revisions->back().text, text));
        return program::Success;
    }
    const std::optional<std::uint64_t> from = parseUnsigned(arguments.text("--from"));
    const std::optional<std::uint64_t> to = parseUnsigned(arguments.text("--to"));
    if (!from || !to) {
        printError("--from and --to must be revisions");
        return program::BadUsage;
    }
    const templates::StatedRevision *const before = findRevision(*revisions, *from);
    const templates::StatedRevision *const after = findRevision(*revisions, *to);
    if (before == nullptr || after == nullptr) {
        return program::Failed;
    }
    print(templates::textDiff(before->text, after->text));
    return program::Success;
}

}

int runTemplateCommand(const program::Arguments &arguments)
{
    if (arguments.flag("check")) {
        return check(arguments);
    }
    if (arguments.flag("publish")) {
        return publish(arguments);
    }
    const std::optional<operators::OperatorTarget> target = readTarget(arguments);
    if (!target) {
        return program::BadUsage;
    }
    if (arguments.flag("history")) {
        return history(arguments, *target);
    }
    return arguments.flag("diff") ? diff(arguments, *target) : show(arguments, *target);
}

}
