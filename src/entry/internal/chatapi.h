#pragma once

#include "requests/transcript.h"
#include "templates/templatetypes.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::entry {

/// A chat completion request.
struct ChatRequest {
    std::string model;
    bool stream = false;
    bool includeUsage = false;      ///< A streamed answer ends with its token usage.
    std::uint32_t maxTokens = 0;    ///< Zero when the caller set no limit.
    std::uint32_t promptTokens = 0; ///< Estimated from the length of the messages.
    std::uint64_t prefixHash = 0;   ///< Hash of the first message, which an engine may have in its prefix cache.
};

/// Parses the body of a chat completion request. Returns nothing and sets @p refusal when it is invalid. Thread-safe.
std::optional<ChatRequest> parseChatRequest(std::string_view body, requests::Refusal &refusal);

/// JSON of the streamed chunk that carries @p chunk, the part of the answer with the zero-based number @p index. The first one
/// also names the role. Thread-safe.
std::string chunkJson(std::string_view requestId, std::string_view model, std::size_t index, const requests::ResponseChunk &chunk);
/// JSON of the streamed chunk with the finish reason. Thread-safe.
std::string finishChunkJson(std::string_view requestId, std::string_view model, std::string_view finishReason);
/// JSON of the streamed chunk with the token usage, for callers that requested it. Thread-safe.
std::string usageChunkJson(std::string_view requestId, std::string_view model, const requests::Usage &usage);
/// JSON of a whole, unstreamed chat completion. Thread-safe.
std::string completionJson(std::string_view requestId, std::string_view model, const requests::TranscriptView &view);
/// JSON list of the models that a workspace may use. Thread-safe.
std::string modelListJson(const templates::WorkspaceTemplate &content);

}
