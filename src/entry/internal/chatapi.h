#pragma once

#include "requests/transcript.h"
#include "templates/templatetypes.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::entry {

/// A chat completion as the caller asked for it.
struct ChatRequest {
    std::string model;
    bool stream = false;
    bool includeUsage = false;      ///< Of a streamed answer.
    std::uint32_t maxTokens = 0;    ///< Zero when the caller set no bound.
    std::uint32_t promptTokens = 0; ///< Estimated from the length of the messages.
    std::uint64_t prefixHash = 0;   ///< Of the first message, whose computation an engine may have cached.
};

/// Reads the body of a chat completion; nothing, with @p refusal set, when it cannot be served. Thread-safe.
std::optional<ChatRequest> parseChatRequest(std::string_view body, requests::Refusal &refusal);

/// Data of the streamed event for piece number @p index. Thread-safe.
std::string chunkJson(std::string_view requestId, std::string_view model, std::size_t index, const requests::Piece &piece);
/// Data of the streamed event that carries the finish reason. Thread-safe.
std::string finishChunkJson(std::string_view requestId, std::string_view model, std::string_view finishReason);
/// Data of the streamed event that carries the usage, for callers that asked for it. Thread-safe.
std::string usageChunkJson(std::string_view requestId, std::string_view model, const requests::Usage &usage);
/// The whole unstreamed answer. Thread-safe.
std::string completionJson(std::string_view requestId, std::string_view model, const requests::TranscriptView &view);
/// The list of models a workspace may use. Thread-safe.
std::string modelListJson(const templates::WorkspaceTemplate &content);

}
