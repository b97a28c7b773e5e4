#include "standins/standinengine.h"

#include "base/json.h"
#include "base/text.h"
#include "settings/endpointsetting.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace rosemaryshift::standins {

namespace net = boost::asio;

namespace {

constexpr std::uint64_t MaxTokens = 1'000'000;
constexpr std::size_t PromptHashDigits = 6;

std::string chunk(const std::string &id, const Json::Value &delta, const Json::Value &finishReason, const Json::Value &usage)
{
    Json::Value choice;
    choice["index"] = 0;
    choice["delta"] = delta;
    choice["finish_reason"] = finishReason;
    Json::Value value;
    value["id"] = id;
    value["object"] = "chat.completion.chunk";
    value["choices"].append(choice);
    if (!usage.isNull()) {
        value["usage"] = usage;
    }
    return "data: " + toText(value) + "\n\n";
}

std::string wordChunk(const std::string &id, const std::string &word, const Json::Value &usage)
{
    Json::Value delta;
    delta["content"] = word;
    return chunk(id, delta, Json::Value(), usage);
}

std::uint64_t countWords(const Json::Value &messages)
{
    std::uint64_t words = 0;
    for (const Json::Value &message : messages) {
        std::istringstream text(stringMember(message, "content").value_or(""));
        words += static_cast<std::uint64_t>(std::distance(std::istream_iterator<std::string>(text), {}));
    }
    return words;
}

http::Headers streamHeaders(const std::string &id)
{
    http::Headers headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("X-Request-Id", id);
    return headers;
}

}

struct StandinEngine::Job {
    std::string id;
    std::string prompt;
    std::uint64_t firstWord = 0; ///< Index of the first word to generate.
    std::uint64_t wordCount = 0; ///< Words to generate.
    std::uint64_t promptTokens = 0;
    bool continuousUsage = false; ///< Each chunk carries the usage so far.
    FailureMode mode = FailureMode::None;
    std::uint64_t epoch = 0; ///< FailureInjection::epoch() at the beginning of the request.
};

EngineSettings readEngineSettings(SettingsDocument &document)
{
    EngineSettings settings;
    SettingsTable root = document.root();
    settings.name = root.text("name");
    settings.logLevel = root.logLevel();
    settings.address = endpointSetting(root, "address");
    settings.firstToken = std::chrono::microseconds(root.number("first_token_us", {0, 60'000'000}, settings.firstToken.count()));
    settings.perToken = std::chrono::microseconds(root.number("per_token_us", {0, 60'000'000}, settings.perToken.count()));
    settings.slots = static_cast<std::uint32_t>(root.number("slots", {1, 10'000}, settings.slots));
    settings.defaultTokens = static_cast<std::uint32_t>(root.number("default_tokens", {1, MaxTokens}, settings.defaultTokens));
    root.rejectUnknownKeys();
    return settings;
}

std::string standinWord(std::string_view prompt, std::uint64_t index)
{
    return "w" + sha256Hex(prompt).substr(0, PromptHashDigits) + "-" + std::to_string(index) + " ";
}

StandinEngine::StandinEngine(const EngineSettings &settings)
    : m_settings(settings)
{
}

net::awaitable<void> StandinEngine::handle(http::Request request, http::IResponseWriter &writer)
{
    http::Response response;
    const std::string path(http::path(request.target));
    if (m_failures.handleCommand(request, response)) {
        co_await writer.respond(std::move(response));
    } else if (path == "/v1/chat/completions") {
        co_await chat(std::move(request), writer);
    } else if (path == "/load") {
        response = load();
        co_await writer.respond(std::move(response));
    } else if (path == "/standin/runs") {
        response = runs();
        co_await writer.respond(std::move(response));
    } else {
        response = jsonAnswer(404, R"({"error":"unknown path"})");
        co_await writer.respond(std::move(response));
    }
}

net::awaitable<void> StandinEngine::chat(http::Request request, http::IResponseWriter &writer)
{
    const FailureMode mode = m_failures.beginRequest();
    if (mode == FailureMode::Down) {
        writer.abort();
        co_return;
    }
    if (mode == FailureMode::Leaving) {
        recordDeclined();
        http::Response response = leavingAnswer(m_failures);
        co_await writer.respond(std::move(response));
        co_return;
    }
    if (mode == FailureMode::Rejecting) {
        recordDeclined();
        http::Response response = jsonAnswer(400, R"({"error":{"message":"the prompt is longer than the model's context"}})");
        response.headers.add("X-Request-Id", request.headers.find("X-Request-Id").value_or("none"));
        co_await writer.respond(std::move(response));
        co_return;
    }
    std::string reason;
    const std::optional<Json::Value> body = parseJson(request.body, reason);
    if (!body || !body->isObject() || !(*body)["messages"].isArray() || (*body)["messages"].empty()) {
        http::Response response = jsonAnswer(400, R"({"error":"malformed request"})");
        co_await writer.respond(std::move(response));
        co_return;
    }
    Job job;
    job.id = std::string(request.headers.find("X-Request-Id").value_or("none"));
    job.mode = mode;
    job.epoch = m_failures.epoch();
    const std::optional<std::uint64_t> bound = unsignedMember(*body, body->isMember("max_completion_tokens") ? "max_completion_tokens" : "max_tokens");
    job.wordCount = std::min(bound.value_or(m_settings.defaultTokens), MaxTokens);
    Json::Value messages = (*body)["messages"];
    job.promptTokens = countWords(messages);
    job.continuousUsage = (*body)["stream_options"].isObject() && boolMember((*body)["stream_options"], "continuous_usage_stats", false);
    if (boolMember(*body, "continue_final_message", false)) {
        Json::Value partialAnswer;
        messages.removeIndex(messages.size() - 1, &partialAnswer);
        const std::string text = stringMember(partialAnswer, "content").value_or("");
        job.firstWord = static_cast<std::uint64_t>(std::ranges::count(text, ' '));
        if (!bound) {
            job.wordCount = m_settings.defaultTokens - std::min<std::uint64_t>(job.firstWord, m_settings.defaultTokens);
        }
    }
    job.prompt = toText(messages);
    ++m_running;
    writer.onCallerGone([] {});
    co_await generate(job, writer);
    --m_running;
}

net::awaitable<void> StandinEngine::generate(const Job &job, http::IResponseWriter &writer)
{
    recordRun(job.id, 0);
    http::Headers headers = streamHeaders(job.id);
    if (job.mode == FailureMode::Silent) {
        co_await staySilent(writer);
        co_return;
    }
    co_await pause(std::chrono::duration_cast<std::chrono::microseconds>(m_settings.firstToken * m_failures.factor()));
    co_await writer.begin(200, std::move(headers));
    const std::uint64_t wordsToSend = job.mode == FailureMode::Truncated || job.mode == FailureMode::LostAnswer ? job.wordCount / 2 : job.wordCount;
    for (std::uint64_t i = 0; i < wordsToSend; ++i) {
        if (m_failures.mode() == FailureMode::SilentOpen && m_failures.epoch() != job.epoch) {
            co_await staySilent(writer);
        }
        const bool crossed = job.mode == FailureMode::Crossed && i >= job.wordCount / 2;
        const std::string text = standinWord(crossed ? job.prompt + "-other" : job.prompt, job.firstWord + i);
        const std::string event = wordChunk(crossed ? job.id + "-other" : job.id, text, usage(job, i + 1));
        if (writer.callerGone() || !co_await writer.write(event)) {
            recordCancelled();
            co_return;
        }
        recordRun(job.id, 1);
        co_await pause(std::chrono::duration_cast<std::chrono::microseconds>(m_settings.perToken * m_failures.factor()));
    }
    if (job.mode == FailureMode::LostAnswer) {
        writer.abort();
        co_return;
    }
    if (job.mode != FailureMode::Truncated && job.mode != FailureMode::Unfinished) {
        const std::string end = chunk(job.id, Json::Value(Json::objectValue), "stop", usage(job, job.wordCount)) + "data: [DONE]\n\n";
        co_await writer.write(end);
    }
    co_await writer.end();
}

Json::Value StandinEngine::usage(const Job &job, std::uint64_t tokens)
{
    Json::Value value;
    if (job.continuousUsage) {
        value["prompt_tokens"] = Json::UInt64(job.promptTokens);
        value["completion_tokens"] = Json::UInt64(tokens);
    }
    return value;
}

void StandinEngine::recordRun(const std::string &attempt, std::uint64_t tokens)
{
    const std::lock_guard lock(m_mutex);
    m_tokens += tokens;
    if (tokens == 0) {
        ++m_started;
    }
    m_runs[attempt] += tokens;
}

void StandinEngine::recordDeclined()
{
    const std::lock_guard lock(m_mutex);
    ++m_declined;
}

void StandinEngine::recordCancelled()
{
    const std::lock_guard lock(m_mutex);
    ++m_cancelled;
}

http::Response StandinEngine::load() const
{
    Json::Value value;
    const std::uint32_t running = m_running;
    value["running"] = std::min(running, m_settings.slots);
    value["queued"] = running - std::min(running, m_settings.slots);
    value["slots"] = m_settings.slots;
    return jsonAnswer(200, toText(value));
}

http::Response StandinEngine::runs() const
{
    const std::lock_guard lock(m_mutex);
    Json::Value value;
    value["started"] = Json::UInt64(m_started);
    value["declined"] = Json::UInt64(m_declined);
    value["cancelled"] = Json::UInt64(m_cancelled);
    value["tokens"] = Json::UInt64(m_tokens);
    value["attempts"] = Json::Value(Json::objectValue);
    for (const auto &[attempt, tokens] : m_runs) {
        value["attempts"][attempt] = Json::UInt64(tokens);
    }
    return jsonAnswer(200, toText(value));
}

}
