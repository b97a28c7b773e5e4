#include "timeline/gatewaylog.h"

#include "base/json.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace rosemaryshift::timeline {

namespace {

/// Events of the hosts are included from this long before the request's arrival, in milliseconds, since a reclaim or an order of upstreams affects
/// requests for some seconds.
constexpr double ContextBeforeMs = 5'000;
/// Events of the hosts are included until this long after the request's last line, in milliseconds, since a host notices some faults late, such as
/// an unreachable log.
constexpr double ContextAfterMs = 1'500;

/// A field of @p line; empty when it is missing or not a string.
std::string textField(const LogLine &line, const char *field)
{
    const Json::Value &value = line.fields[field];
    return value.isString() ? value.asString() : std::string();
}

/// A field of @p line; -1 when it is missing or not a number.
std::int64_t numberField(const LogLine &line, const char *field)
{
    const Json::Value &value = line.fields[field];
    return value.isNumeric() ? static_cast<std::int64_t>(value.asDouble()) : -1;
}

/// Describes the value of the field "run", which says whether the request ran.
std::string runInWords(const std::string &run)
{
    static const std::map<std::string, std::string> Words = {
        {"not_offered", "it was sent to no upstream and did not run"},
        {"known_not_run", "it did not run"},
        {"offered", "it may have run"},
        {"running", "it had begun to run"},
        {"answered", "it ran"},
    };
    const auto found = Words.find(run);
    return found == Words.end() ? "what is known of its run is '" + run + "'" : found->second;
}

/// Describes why a request was refused; the field "reason" itself when there is no description for it.
std::string reasonInWords(const LogLine &line)
{
    static const std::map<std::string, std::string> Words = {
        {"over_quota", "its workspace was over its quota"},
        {"overloaded", "no upstream could have answered in the time left"},
        {"stale_configuration", "the host had been without a confirmed configuration for too long to trust its keys"},
        {"no_configuration", "the host had no configuration yet"},
        {"no_upstream", "no upstream of the service was listed"},
        {"upstreams_full", "the host already had its share of connections to every upstream open"},
        {"no_route", "no route of the configuration fits its host and path"},
        {"unknown_key", "no workspace has its key"},
        {"stopping", "the host was stopping"},
        {"prompt_quarantined", "a part of its prompt had crashed several upstreams"},
    };
    const std::string reason = textField(line, "reason");
    const auto found = Words.find(reason);
    return found == Words.end() ? reason : found->second;
}

std::string endSentence(const LogLine &line)
{
    const std::string outcome = textField(line, "outcome");
    const std::int64_t status = numberField(line, "status");
    std::string sentence = "The request ended as '" + outcome + "'" + (status > 0 ? " with status " + std::to_string(status) : std::string()) + " after "
        + std::to_string(numberField(line, "took_ms")) + " ms";
    const std::string reason = reasonInWords(line);
    if (!reason.empty()) {
        sentence += ", since " + reason;
    }
    sentence += "; " + runInWords(textField(line, "run")) + ".";
    if (!textField(line, "route").empty()) {
        sentence += " Its route was " + textField(line, "route") + " of configuration " + std::to_string(numberField(line, "configuration")) + ", confirmed "
            + std::to_string(numberField(line, "configuration_age_ms")) + " ms before";
        sentence += textField(line, "workspace").empty() ? "." : "; its workspace was " + textField(line, "workspace") + ".";
    }
    if (numberField(line, "retry_after_ms") > 0) {
        sentence += " The caller was told to come back after " + std::to_string(numberField(line, "retry_after_ms")) + " ms.";
    }
    return sentence;
}

std::string requestSentence(const LogLine &line)
{
    if (line.event == "offered") {
        std::string sentence = "It was sent to " + textField(line, "instance") + " of " + textField(line, "service") + ", expected to begin its answer after "
            + std::to_string(numberField(line, "expected_ms")) + " ms, with " + std::to_string(numberField(line, "left_ms")) + " ms left";
        if (!textField(line, "runner_up").empty()) {
            sentence += "; next best was " + textField(line, "runner_up") + " with " + std::to_string(numberField(line, "runner_up_ms")) + " ms";
        }
        return sentence + (textField(line, "resume_after").empty() ? "." : "; the stream goes on after event " + textField(line, "resume_after") + ".");
    }
    if (line.event == "offer_failed") {
        return "That brought no whole answer from " + textField(line, "instance") + " (" + textField(line, "reason") + "); "
            + runInWords(textField(line, "run")) + ".";
    }
    if (line.event == "foreign_answer") {
        return textField(line, "instance") + " sent an answer to another request, which was skipped.";
    }
    if (line.event == "connection_unanswered") {
        return "Its connection ended without a complete answer (" + textField(line, "cause") + ").";
    }
    return line.event == "request_ended" ? endSentence(line) : "Event '" + line.event + "'.";
}

/// Sentence for a line about the hosts or upstreams of a request; empty when the line does not concern them.
std::string contextSentence(const LogLine &line, const std::set<std::string> &hosts, const std::set<std::string> &instances, const std::string &service)
{
    if (line.event == "upstreams_ordered" && textField(line, "service") == service) {
        return "The holder of the duties ordered " + std::to_string(numberField(line, "replicas")) + " upstreams of " + service + " in "
            + textField(line, "zone") + (boolMember(line.fields, "done", true) ? "." : ", which failed: " + textField(line, "reason") + ".");
    }
    if (!hosts.contains(line.host)) {
        return {};
    }
    if (line.event == "upstream" && instances.contains(textField(line, "instance"))) {
        return "Upstream " + textField(line, "instance") + " was " + textField(line, "change") + ".";
    }
    if (line.event == "log_lost" || line.event == "log_regained") {
        const bool lost = line.event == "log_lost";
        return "The platform's log of " + textField(line, "topic") + (lost ? " was unreachable (" + textField(line, "reason") + ")." : " was reachable again.");
    }
    if (line.event == "configuration_in_force") {
        return "Configuration " + std::to_string(numberField(line, "version")) + " came into force.";
    }
    if (line.event == "peer") {
        return "Peer " + textField(line, "peer") + " was " + textField(line, "change") + ".";
    }
    if (line.event == "started" || line.event == "stopping" || line.event == "stopped") {
        return "The process " + std::string(line.event == "stopping" ? "was told to stop." : line.event + ".");
    }
    if (line.event == "lines_dropped") {
        return "Lines are missing here: " + std::to_string(numberField(line, "lines")) + " were left out of the log.";
    }
    return {};
}

std::string timedSentence(const LogLine &line, double from, const std::string &sentence)
{
    char time[32] = {};
    std::snprintf(time, sizeof time, "%+9.3f s ", (line.timeMs - from) / 1000);
    return time + line.host + ": " + sentence;
}

/// Sentences about lines of the request that are missing from the logs.
std::vector<std::string> missingLines(const GatewayLog &log, const std::vector<const LogLine *> &own)
{
    std::vector<std::string> sentences;
    const auto end = std::find_if(own.begin(), own.end(), [](const LogLine *line) { return line->event == "request_ended"; });
    if (end == own.end()) {
        const LogLine &last = *own.back();
        const bool goesOn = std::any_of(log.lines.begin(), log.lines.end(), [&last](const LogLine &line) {
            return line.host == last.host && line.start == last.start && line.timeMs > last.timeMs;
        });
        sentences.push_back("Missing: how it ended. "
                            + std::string(goesOn ? "The log of " + last.host + " goes on, so that the line was left out or lost."
                                                 : "The log of " + last.host + " ends here: its process ended, or its later lines are lost."));
        return sentences;
    }
    const std::int64_t offers = numberField(**end, "offers");
    const std::int64_t logged = std::count_if(own.begin(), own.end(), [](const LogLine *line) { return line->event == "offered"; });
    if (logged < offers) {
        sentences.push_back("Missing: " + std::to_string(offers - logged) + " of " + std::to_string(offers) + " offers to upstreams.");
    }
    return sentences;
}

}

std::vector<std::string> explainFromLogs(const GatewayLog &log, std::string_view request)
{
    std::vector<const LogLine *> own;
    std::set<std::string> hosts;
    std::set<std::string> instances;
    std::string service;
    for (const LogLine &line : log.lines) {
        if (textField(line, "request") != request || request.empty()) {
            continue;
        }
        own.push_back(&line);
        hosts.insert(line.host);
        instances.insert(textField(line, "instance"));
        service = line.event == "offered" ? textField(line, "service") : service;
    }
    if (own.empty()) {
        return {};
    }
    const double first = own.front()->timeMs;
    // When the first line is that of the end, its duration gives the time at which the request arrived.
    const double arrivedMs
        = first - static_cast<double>(std::max<std::int64_t>(0, own.front()->event == "request_ended" ? numberField(*own.front(), "took_ms") : 0));
    std::vector<std::string> sentences;
    auto next = own.begin();
    for (const LogLine &line : log.lines) {
        if (next != own.end() && *next == &line) {
            ++next;
            sentences.push_back(timedSentence(line, arrivedMs, requestSentence(line)));
        } else if (line.timeMs >= arrivedMs - ContextBeforeMs && line.timeMs <= own.back()->timeMs + ContextAfterMs) {
            const std::string sentence = contextSentence(line, hosts, instances, service);
            if (!sentence.empty()) {
                sentences.push_back(timedSentence(line, arrivedMs, sentence));
            }
        }
    }
    const std::vector<std::string> gaps = missingLines(log, own);
    sentences.insert(sentences.end(), gaps.begin(), gaps.end());
    sentences.insert(sentences.end(), log.faults.begin(), log.faults.end());
    return sentences;
}

}
