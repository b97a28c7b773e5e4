#include "entry/internal/chatapi.h"

#include "base/json.h"
#include "entry/internal/refusals.h"

#include <algorithm>

namespace rosemaryshift::entry {

using requests::ResponseChunk;

namespace {

/// Assumed size of a token, for estimating the prompt's tokens from its bytes.
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint64_t MaxTokensLimit = 10'000'000;
constexpr int BadRequestStatus = 400;

std::size_t contentBytes(const Json::Value &messages)
{
    std::size_t bytes = 0;
    for (const Json::Value &message : messages) {
        if (message.isObject() && message["content"].isString()) {
            bytes += message["content"].asString().size();
        }
    }
    return bytes;
}

/// 64-bit FNV-1a hash.
std::uint64_t fnv1aHash(std::string_view text)
{
    constexpr std::uint64_t OffsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t hash = OffsetBasis;
    for (const char byte : text) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * Prime;
    }
    return hash;
}

std::uint32_t readMaxTokens(const Json::Value &body)
{
    for (const char *const key : {"max_completion_tokens", "max_tokens"}) {
        const std::optional<std::uint64_t> value = unsignedMember(body, key);
        if (value) {
            return static_cast<std::uint32_t>(std::min(*value, MaxTokensLimit));
        }
    }
    return 0;
}

std::optional<std::string_view> validationError(const Json::Value &body)
{
    if (!body.isObject()) {
        return "the body must be a JSON object";
    }
    if (stringMember(body, "model").value_or("").empty()) {
        return "\"model\" must be a text";
    }
    if (!body["messages"].isArray() || body["messages"].empty()) {
        return "\"messages\" must be a list with at least one message";
    }
    if (!std::ranges::all_of(body["messages"], [](const Json::Value &message) { return message.isObject() && message["role"].isString(); })) {
        return "each message must be an object with a \"role\"";
    }
    if (body.isMember("stream") && !body["stream"].isBool()) {
        return "\"stream\" must be true or false";
    }
    if (body.isMember("stream_options") && !body["stream_options"].isObject() && !body["stream_options"].isNull()) {
        return "\"stream_options\" must be an object";
    }
    if (body.isMember("n") && body["n"] != 1) {
        return "\"n\" may be 1 only";
    }
    return std::nullopt;
}

Json::Value envelope(std::string_view requestId, std::string_view model, const char *object)
{
    Json::Value value;
    value["id"] = std::string(requestId);
    value["object"] = object;
    value["model"] = std::string(model);
    return value;
}

Json::Value choice(const char *key, Json::Value content, Json::Value finishReason)
{
    Json::Value value;
    value["index"] = 0;
    value[key] = std::move(content);
    value["finish_reason"] = std::move(finishReason);
    return value;
}

Json::Value usageJson(const requests::Usage &usage)
{
    Json::Value value;
    value["prompt_tokens"] = Json::UInt64(usage.promptTokens);
    value["completion_tokens"] = Json::UInt64(usage.completionTokens);
    value["total_tokens"] = Json::UInt64(usage.promptTokens + usage.completionTokens);
    return value;
}

/// Merges the streamed tool calls of all chunks. Each part names its call by index and holds a fragment of the arguments.
Json::Value mergedToolCalls(const std::vector<ResponseChunk> &chunks)
{
    Json::Value calls(Json::arrayValue);
    for (const ResponseChunk &chunk : chunks) {
        std::string reason;
        const std::optional<Json::Value> delta = parseJson(chunk.delta, reason);
        if (!delta || !delta->isObject() || !(*delta)["tool_calls"].isArray()) {
            continue;
        }
        for (const Json::Value &part : (*delta)["tool_calls"]) {
            const std::uint64_t index = unsignedMember(part, "index").value_or(0);
            if (index > calls.size()) {
                continue;
            }
            Json::Value &call = calls[static_cast<Json::ArrayIndex>(index)];
            if (call.isNull()) {
                call = part;
                call.removeMember("index");
                continue;
            }
            const std::string fragment = stringMember(part["function"], "arguments").value_or("");
            call["function"]["arguments"] = stringMember(call["function"], "arguments").value_or("") + fragment;
        }
    }
    return calls;
}

}

std::optional<ChatRequest> parseChatRequest(std::string_view body, requests::Refusal &refusal)
{
    std::string reason;
    const std::optional<Json::Value> parsed = parseJson(body, reason);
    if (!parsed) {
        refusal = notRunRefusal(BadRequestStatus, "malformed_json", "the body is not JSON");
        return std::nullopt;
    }
    const std::optional<std::string_view> error = validationError(*parsed);
    if (error) {
        refusal = notRunRefusal(BadRequestStatus, "invalid_request", *error);
        return std::nullopt;
    }
    ChatRequest request;
    request.model = (*parsed)["model"].asString();
    request.stream = boolMember(*parsed, "stream", false);
    const Json::Value &options = (*parsed)["stream_options"];
    request.includeUsage = options.isObject() && boolMember(options, "include_usage", false);
    request.maxTokens = readMaxTokens(*parsed);
    request.promptTokens = static_cast<std::uint32_t>(contentBytes((*parsed)["messages"]) / BytesPerToken) + 1;
    request.prefixHash = fnv1aHash(toText((*parsed)["messages"][0]));
    return request;
}

std::string chunkJson(std::string_view requestId, std::string_view model, std::size_t index, const ResponseChunk &chunk)
{
    std::string reason;
    Json::Value delta = parseJson(chunk.delta, reason).value_or(Json::Value(Json::objectValue));
    if (index == 0) {
        delta["role"] = "assistant";
    }
    Json::Value value = envelope(requestId, model, "chat.completion.chunk");
    value["choices"].append(choice("delta", std::move(delta), Json::Value()));
    return toText(value);
}

std::string finishChunkJson(std::string_view requestId, std::string_view model, std::string_view finishReason)
{
    Json::Value value = envelope(requestId, model, "chat.completion.chunk");
    value["choices"].append(choice("delta", Json::Value(Json::objectValue), std::string(finishReason)));
    return toText(value);
}

std::string usageChunkJson(std::string_view requestId, std::string_view model, const requests::Usage &usage)
{
    Json::Value value = envelope(requestId, model, "chat.completion.chunk");
    value["choices"] = Json::Value(Json::arrayValue);
    value["usage"] = usageJson(usage);
    return toText(value);
}

std::string completionJson(std::string_view requestId, std::string_view model, const requests::TranscriptView &view)
{
    std::string content;
    for (const ResponseChunk &chunk : view.chunks) {
        content += chunk.content;
    }
    Json::Value message;
    message["role"] = "assistant";
    message["content"] = content;
    Json::Value calls = mergedToolCalls(view.chunks);
    if (!calls.empty()) {
        message["tool_calls"] = std::move(calls);
    }
    Json::Value value = envelope(requestId, model, "chat.completion");
    value["choices"].append(choice("message", std::move(message), view.finishReason));
    value["usage"] = usageJson(view.usage);
    return toText(value);
}

std::string modelListJson(const templates::WorkspaceTemplate &content)
{
    Json::Value list;
    list["object"] = "list";
    list["data"] = Json::Value(Json::arrayValue);
    for (const templates::ModelRoute &route : content.models) {
        Json::Value model;
        model["id"] = route.name;
        model["object"] = "model";
        model["owned_by"] = content.workspace;
        list["data"].append(model);
    }
    return toText(list);
}

}
