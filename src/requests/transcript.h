#pragma once

#include "requests/requesttypes.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace rosemaryshift::requests {

/// Whether an answer can still grow and, if not, how it ended.
enum class TranscriptState : std::uint8_t {
    Open,
    Complete,
    Refused,
    Moved, ///< The request was handed over to another host, where callers reattach.
};

/// Snapshot of a transcript for a reader, without the chunks that the reader has already seen.
struct TranscriptView {
    std::vector<ResponseChunk> chunks;
    TranscriptState state = TranscriptState::Open;
    std::string finishReason;
    Usage usage;
    ServiceAnswer answer;
    Refusal refusal;
};

/// The answer so far, which a new attempt continues.
struct TranscriptPrefix {
    std::string content;
    std::size_t chunks = 0;
    std::uint64_t tokens = 0;
    bool textOnly = true; ///< False when a chunk has no text content, as with tool calls; then no engine can continue the answer.
};

/// The answer to one request, which grows while it is generated. One attempt writes at a time, any number of callers read. Thread-safe.
class Transcript
{
public:
    /// Makes @p attempt the writer. False when the transcript is not open or is frozen, another attempt is the writer, or there is no writer and the
    /// transcript does not hold exactly @p chunks chunks.
    bool open(AttemptId attempt, std::size_t chunks);
    /// Ends the write access of @p attempt, if it is the writer. The chunks it wrote stay.
    void release(AttemptId attempt);
    /// Appends a chunk; false when @p attempt is not the writer.
    bool append(AttemptId attempt, ResponseChunk chunk);
    /// Completes a model's answer; false when @p attempt is not the writer.
    bool finish(AttemptId attempt, std::string finishReason, std::uint64_t promptTokens);
    /// Completes a service's answer; false when @p attempt is not the writer.
    bool finish(AttemptId attempt, ServiceAnswer answer);
    /// Ends the answer with a refusal, if it is open.
    void refuse(Refusal refusal);
    /// Ends the answer as handed over to another host, if it is open.
    void move();

    /// Removes the writer and rejects new ones, so that the answer can be handed over unchanged.
    void freeze();
    /// Permits writers again after freeze().
    void thaw();

    /// Sets the chunks that were received from another host. Precondition: no attempt has written yet.
    void restore(std::vector<ResponseChunk> chunks);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] TranscriptState state() const;
    [[nodiscard]] TranscriptPrefix prefix() const;
    /// Returns the chunks from index @p from on, with the state and, if the answer has ended, its result.
    [[nodiscard]] TranscriptView view(std::size_t from) const;
    /// Waits until the transcript has more than @p seen chunks, has ended, or wake() is called. Resumes on the executor of the caller.
    boost::asio::awaitable<void> wait(std::size_t seen);
    /// Resumes all waiting readers.
    void wake();

private:
    using Resume = std::function<void()>;
    /// Removes all waiting readers and returns them. Precondition: the mutex is held.
    [[nodiscard]] std::vector<Resume> takeReaders();
    /// Ends the answer and resumes its readers; false when it has already ended.
    bool endWith(TranscriptState state);

    mutable std::mutex m_mutex;
    std::vector<ResponseChunk> m_chunks;
    std::optional<AttemptId> m_writer;
    bool m_frozen = false;
    TranscriptState m_state = TranscriptState::Open;
    std::string m_finishReason;
    Usage m_usage;
    ServiceAnswer m_answer;
    Refusal m_refusal;
    std::vector<Resume> m_readers;
};

}
