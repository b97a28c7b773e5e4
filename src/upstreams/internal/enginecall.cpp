#include "base/json.h"
#include "http/ihttpclient.h"
#include "upstreams/internal/callfailures.h"
#include "upstreams/iupstreamcall.h"
#include "upstreams/sseparser.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace rosemaryshift::upstreams {

namespace net = boost::asio;
using decisions::AttemptOutcome;

namespace {

constexpr int StatusOk = 200;
constexpr int RequestTimeout = 408;
constexpr int TooManyRequests = 429;
constexpr std::size_t MaxErrorBytes = 64 * 1024;
constexpr std::string_view EndMarker = "[DONE]";

/// Sets the limit of completion tokens in the field that the caller used: "max_completion_tokens" or the older "max_tokens".
void limitTokens(Json::Value &body, std::uint64_t tokens)
{
    const bool usesNewName = body.isMember("max_completion_tokens");
    body.removeMember("max_tokens");
    body.removeMember("max_completion_tokens");
    body[usesNewName ? "max_completion_tokens" : "max_tokens"] = Json::UInt64(tokens);
}

/// The caller's body with the fields that this host adds: streaming, usage in each chunk, priority, and the content so far as
/// the last assistant message. "continue_final_message" of vLLM's chat API makes the engine continue that message. Nothing when
/// the body is not a JSON object.
std::optional<std::string> engineBody(const requests::RequestRecord &record, const requests::TranscriptPrefix &prefix)
{
    std::string reason;
    std::optional<Json::Value> body = parseJson(record.spec.body, reason);
    if (!body || !body->isObject()) {
        return std::nullopt;
    }
    Json::Value options;
    options["include_usage"] = true;
    options["continuous_usage_stats"] = true;
    (*body)["stream"] = true;
    (*body)["stream_options"] = options;
    (*body)["priority"] = record.spec.priority;
    if (prefix.chunks == 0) {
        return toText(*body);
    }
    Json::Value message;
    message["role"] = "assistant";
    message["content"] = prefix.content;
    (*body)["messages"].append(message);
    (*body)["continue_final_message"] = true;
    (*body)["add_generation_prompt"] = false;
    if (record.spec.maxTokens > 0) {
        limitTokens(*body, record.spec.maxTokens - prefix.tokens);
    }
    return toText(*body);
}

/// True for a status by which the engine reports that the request itself is invalid.
bool isRejection(int status)
{
    return status >= 400 && status < 500 && status != RequestTimeout && status != TooManyRequests;
}

std::string errorMessage(std::string_view body)
{
    std::string reason;
    const std::optional<Json::Value> parsed = parseJson(body, reason);
    const std::optional<std::string> message = parsed && parsed->isObject() ? stringMember((*parsed)["error"], "message") : std::nullopt;
    return message.value_or("the engine rejected the request");
}

class EngineCall : public IUpstreamCall
{
public:
    EngineCall(const net::any_io_executor &executor, std::shared_ptr<requests::RequestRecord> record, AttemptSpec spec, ProgressCallback progress)
        : m_exchange(http::makeExchange(executor))
        , m_record(std::move(record))
        , m_spec(std::move(spec))
        , m_progress(std::move(progress))
    {
    }

    net::awaitable<AttemptResult> run() override
    {
        AttemptResult result = co_await exchange();
        m_record->transcript.release(m_spec.attempt);
        if (m_cancelled) {
            result.outcome = AttemptOutcome::Cancelled;
        }
        co_return result;
    }

    void cancel() override
    {
        m_cancelled = true;
        m_exchange->cancel();
    }

private:
    net::awaitable<AttemptResult> exchange()
    {
        m_prefix = m_record->transcript.prefix();
        if (!m_prefix.textOnly) {
            co_return AttemptResult{AttemptOutcome::Broken, "no engine can go on behind a tool call"};
        }
        if (m_record->spec.maxTokens > 0 && m_prefix.tokens >= m_record->spec.maxTokens) {
            m_finishReason = "length";
            co_return finish();
        }
        std::optional<http::Request> request = makeRequest();
        if (!request) {
            co_return AttemptResult{AttemptOutcome::Rejected, "the request's body cannot be read"};
        }
        http::ClientFailure failure;
        const std::optional<http::Response> head = co_await m_exchange->open(m_spec.endpoint, std::move(*request), clientTimeouts(m_spec.timeouts), failure);
        if (!head) {
            co_return resultOf(failure);
        }
        const std::optional<AttemptResult> refusal = declinedResult(*head);
        if (refusal) {
            co_return *refusal;
        }
        if (!echoesAttempt(*head, m_spec)) {
            co_return AttemptResult{AttemptOutcome::Broken, "the answer belongs to another request"};
        }
        if (isRejection(head->status)) {
            co_return co_await readRejection(head->status);
        }
        if (head->status != StatusOk) {
            co_return AttemptResult{AttemptOutcome::Broken, "the engine answered " + std::to_string(head->status)};
        }
        co_return co_await readStream();
    }

    std::optional<http::Request> makeRequest() const
    {
        std::optional<std::string> body = engineBody(*m_record, m_prefix);
        if (!body) {
            return std::nullopt;
        }
        http::Request request;
        request.method = "POST";
        request.target = "/v1/chat/completions";
        request.headers.add("Content-Type", "application/json");
        request.headers.add(AttemptHeader, m_spec.attemptName);
        request.body = std::move(*body);
        return request;
    }

    /// Reads the engine's error and makes it the final answer of the request.
    net::awaitable<AttemptResult> readRejection(int status)
    {
        std::string body;
        while (body.size() < MaxErrorBytes) {
            http::ClientFailure failure;
            const std::optional<std::string> bytes = co_await m_exchange->readSome(failure);
            if (!bytes) {
                co_return resultOf(failure);
            }
            if (bytes->empty()) {
                break;
            }
            body += *bytes;
        }
        requests::Refusal refusal;
        refusal.status = status;
        refusal.code = std::string(name(decisions::RefusalCode::Rejected));
        refusal.message = errorMessage(body);
        refusal.run = RunState::Unknown;
        m_record->transcript.refuse(std::move(refusal));
        co_return AttemptResult{AttemptOutcome::Rejected, "the engine answered " + std::to_string(status)};
    }

    net::awaitable<AttemptResult> readStream()
    {
        SseParser parser;
        while (true) {
            http::ClientFailure failure;
            const std::optional<std::string> bytes = co_await m_exchange->readSome(failure);
            if (!bytes) {
                co_return resultOf(failure);
            }
            if (bytes->empty()) {
                co_return AttemptResult{AttemptOutcome::Broken, "the stream ended without its end marker", std::nullopt, true};
            }
            for (const std::string &data : parser.feed(*bytes)) {
                const std::optional<AttemptResult> end = processEvent(data);
                if (end) {
                    co_return *end;
                }
            }
            if (parser.overflowed()) {
                co_return AttemptResult{AttemptOutcome::Broken, "an event of the stream is too large"};
            }
        }
    }

    /// Processes the data of one event; returns the result of the attempt when the event is the last one or invalid.
    std::optional<AttemptResult> processEvent(std::string_view data)
    {
        if (data == EndMarker) {
            return finish();
        }
        std::string reason;
        const std::optional<Json::Value> chunk = parseJson(data, reason);
        if (!chunk || stringMember(*chunk, "id") != m_spec.attemptName) {
            return AttemptResult{AttemptOutcome::Broken, chunk ? "a piece belongs to another request" : "a piece is not JSON"};
        }
        const std::uint32_t tokens = processUsage((*chunk)["usage"]);
        const Json::Value &choices = (*chunk)["choices"];
        if (!choices.isArray() || choices.empty() || !choices[0].isObject()) {
            return std::nullopt;
        }
        m_finishReason = stringMember(choices[0], "finish_reason").value_or(m_finishReason);
        return processDelta(choices[0]["delta"], tokens);
    }

    /// Returns the number of tokens since the last event, or 1 when the event does not report usage.
    std::uint32_t processUsage(const Json::Value &usage)
    {
        const std::optional<std::uint64_t> completion = usage.isObject() ? unsignedMember(usage, "completion_tokens") : std::nullopt;
        if (!completion) {
            return 1;
        }
        m_promptTokens = unsignedMember(usage, "prompt_tokens").value_or(0);
        const std::uint64_t before = std::exchange(m_completionTokens, std::max(*completion, m_completionTokens));
        return static_cast<std::uint32_t>(m_completionTokens - before);
    }

    std::optional<AttemptResult> processDelta(const Json::Value &delta, std::uint32_t tokens)
    {
        const std::optional<std::string> content = stringMember(delta, "content");
        const bool hasTools = delta.isObject() && delta.isMember("tool_calls");
        if (!hasTools && content.value_or("").empty()) {
            return std::nullopt;
        }
        requests::ResponseChunk chunk{toText(delta), content.value_or(""), tokens};
        if (!m_record->transcript.open(m_spec.attempt, m_prefix.chunks) || !m_record->transcript.append(m_spec.attempt, std::move(chunk))) {
            return AttemptResult{AttemptOutcome::Cancelled, "another attempt answers the request"};
        }
        m_progress(tokens);
        return std::nullopt;
    }

    AttemptResult finish()
    {
        if (m_finishReason.empty()) {
            return {AttemptOutcome::Broken, "the stream ended without a finish reason"};
        }
        const std::uint64_t prompt = m_promptTokens - std::min(m_promptTokens, m_prefix.tokens);
        const bool written = m_record->transcript.open(m_spec.attempt, m_prefix.chunks) && m_record->transcript.finish(m_spec.attempt, m_finishReason, prompt);
        if (!written) {
            return {AttemptOutcome::Cancelled, "another attempt answered the request"};
        }
        return {AttemptOutcome::Completed, m_finishReason};
    }

    const std::shared_ptr<http::IExchange> m_exchange;
    const std::shared_ptr<requests::RequestRecord> m_record;
    const AttemptSpec m_spec;
    const ProgressCallback m_progress;
    requests::TranscriptPrefix m_prefix;
    std::uint64_t m_promptTokens = 0;     ///< As reported by the engine, including the prefix from the transcript.
    std::uint64_t m_completionTokens = 0; ///< As reported by the engine, for this attempt.
    std::string m_finishReason;
    std::atomic<bool> m_cancelled = false;
};

}

std::shared_ptr<IUpstreamCall>
makeEngineCall(const net::any_io_executor &executor, std::shared_ptr<requests::RequestRecord> record, AttemptSpec spec, ProgressCallback progress)
{
    return std::make_shared<EngineCall>(executor, std::move(record), std::move(spec), std::move(progress));
}

}
