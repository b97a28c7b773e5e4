#include "timeline/gatewaylog.h"

#include "base/json.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace rosemaryshift::timeline {

namespace {

/// Surroundings are told from this long before the request came: a reclaim or an order acts on requests for some seconds.
constexpr double BeforeMs = 5'000;
/// Until this long after its end: what a host found out late, as that its log was out of reach.
constexpr double AfterMs = 1'500;

std::string text(const LogLine &line, const char *field)
{
    const Json::Value &value = line.fields[field];
    return value.isString() ? value.asString() : std::string();
}

std::int64_t number(const LogLine &line, const char *field)
{
    const Json::Value &value = line.fields[field];
    return value.isNumeric() ? static_cast<std::int64_t>(value.asDouble()) : -1;
}

/// What is known of whether the request ran, in words.
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

/// Why a request was refused, in words; the reason itself where there are none.
std::string reasonInWords(const LogLine &line)
{
    static const std::map<std::string, std::string> Words = {
        {"over_quota", "its workspace was over its quota"},
        {"overloaded", "no upstream could have answered in the time left"},
        {"stale_configuration", "the host had been without a confirmed configuration for too long to trust its keys"},
        {"no_configuration", "the host had no configuration yet"},
        {"no_upstream", "no upstream of the service was listed"},
        {"upstreams_full", "the host had all the connections to each upstream that are its share"},
        {"no_route", "no route of the configuration fits its host and path"},
        {"unknown_key", "no workspace holds its key"},
        {"stopping", "the host was about to stop"},
    };
    const std::string reason = text(line, "reason");
    const auto found = Words.find(reason);
    return found == Words.end() ? reason : found->second;
}

std::string ended(const LogLine &line)
{
    const std::string outcome = text(line, "outcome");
    const std::int64_t status = number(line, "status");
    std::string sentence = "The request ended as '" + outcome + "'" + (status > 0 ? " with status " + std::to_string(status) : std::string()) + " after "
        + std::to_string(number(line, "took_ms")) + " ms";
    const std::string reason = reasonInWords(line);
    if (!reason.empty()) {
        sentence += ", since " + reason;
    }
    sentence += "; " + runInWords(text(line, "run")) + ".";
    if (!text(line, "route").empty()) {
        sentence += " Its route was " + text(line, "route") + " of configuration " + std::to_string(number(line, "configuration")) + ", confirmed "
            + std::to_string(number(line, "configuration_age_ms")) + " ms before";
        sentence += text(line, "workspace").empty() ? "." : "; its workspace was " + text(line, "workspace") + ".";
    }
    if (number(line, "retry_after_ms") > 0) {
        sentence += " The caller was told to come back after " + std::to_string(number(line, "retry_after_ms")) + " ms.";
    }
    return sentence;
}

std::string ofRequest(const LogLine &line)
{
    if (line.event == "offered") {
        std::string sentence = "It was sent to " + text(line, "instance") + " of " + text(line, "service") + ", expected to begin its answer after "
            + std::to_string(number(line, "expected_ms")) + " ms, with " + std::to_string(number(line, "left_ms")) + " ms left";
        if (!text(line, "runner_up").empty()) {
            sentence += "; next best was " + text(line, "runner_up") + " with " + std::to_string(number(line, "runner_up_ms")) + " ms";
        }
        return sentence + (text(line, "resume_after").empty() ? "." : "; the stream goes on after event " + text(line, "resume_after") + ".");
    }
    if (line.event == "offer_failed") {
        return "That brought no whole answer from " + text(line, "instance") + " (" + text(line, "reason") + "); " + runInWords(text(line, "run")) + ".";
    }
    if (line.event == "foreign_answer") {
        return text(line, "instance") + " sent an answer to another request, which was skipped.";
    }
    return line.event == "request_ended" ? ended(line) : "Event '" + line.event + "'.";
}

/// What a line says of the surroundings of a request; empty when it says nothing about them.
std::string ofSurroundings(const LogLine &line, const std::set<std::string> &hosts, const std::set<std::string> &instances, const std::string &service)
{
    if (line.event == "upstreams_ordered" && text(line, "service") == service) {
        return "The holder of the duties ordered " + std::to_string(number(line, "replicas")) + " upstreams of " + service + " in " + text(line, "zone")
            + (boolMember(line.fields, "done", true) ? "." : ", in vain: " + text(line, "reason") + ".");
    }
    if (!hosts.contains(line.host)) {
        return {};
    }
    if (line.event == "upstream" && instances.contains(text(line, "instance"))) {
        return "Upstream " + text(line, "instance") + " was " + text(line, "change") + ".";
    }
    if (line.event == "log_lost" || line.event == "log_regained") {
        const bool lost = line.event == "log_lost";
        return "The platform's log of " + text(line, "topic") + (lost ? " was out of reach (" + text(line, "reason") + ")." : " was in reach again.");
    }
    if (line.event == "configuration_in_force") {
        return "Configuration " + std::to_string(number(line, "version")) + " came into force.";
    }
    if (line.event == "peer") {
        return "Peer " + text(line, "peer") + " was " + text(line, "change") + ".";
    }
    if (line.event == "started" || line.event == "stopping" || line.event == "stopped") {
        return "The process " + std::string(line.event == "stopping" ? "was told to stop." : line.event + ".");
    }
    if (line.event == "lines_dropped") {
        return "Lines are missing here: " + std::to_string(number(line, "lines")) + " were left out of the log.";
    }
    return {};
}

std::string stamped(const LogLine &line, double from, const std::string &sentence)
{
    char time[32] = {};
    std::snprintf(time, sizeof time, "%+9.3f s ", (line.timeMs - from) / 1000);
    return time + line.host + ": " + sentence;
}

/// What should be there and is not.
std::vector<std::string> missing(const GatewayLog &log, const std::vector<const LogLine *> &own)
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
    const std::int64_t offers = number(**end, "offers");
    const std::int64_t told = std::count_if(own.begin(), own.end(), [](const LogLine *line) { return line->event == "offered"; });
    if (told < offers) {
        sentences.push_back("Missing: " + std::to_string(offers - told) + " of " + std::to_string(offers) + " offers to upstreams.");
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
        if (text(line, "request") != request || request.empty()) {
            continue;
        }
        own.push_back(&line);
        hosts.insert(line.host);
        instances.insert(text(line, "instance"));
        service = line.event == "offered" ? text(line, "service") : service;
    }
    if (own.empty()) {
        return {};
    }
    const double first = own.front()->timeMs;
    // The first line may be the last one too, and then tells how long the request had been there.
    const double came = first - static_cast<double>(std::max<std::int64_t>(0, own.front()->event == "request_ended" ? number(*own.front(), "took_ms") : 0));
    std::vector<std::string> sentences;
    auto next = own.begin();
    for (const LogLine &line : log.lines) {
        if (next != own.end() && *next == &line) {
            ++next;
            sentences.push_back(stamped(line, came, ofRequest(line)));
        } else if (line.timeMs >= came - BeforeMs && line.timeMs <= own.back()->timeMs + AfterMs) {
            const std::string sentence = ofSurroundings(line, hosts, instances, service);
            if (!sentence.empty()) {
                sentences.push_back(stamped(line, came, sentence));
            }
        }
    }
    const std::vector<std::string> gaps = missing(log, own);
    sentences.insert(sentences.end(), gaps.begin(), gaps.end());
    sentences.insert(sentences.end(), log.faults.begin(), log.faults.end());
    return sentences;
}

}
