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

enum class TranscriptState : std::uint8_t {
    Open,
    Complete,
    Refused,
    Moved, ///< Another host goes on with the request; callers reattach there.
};

/// What a reader finds behind the pieces it has seen.
struct TranscriptView {
    std::vector<ResponseChunk> chunks;
    TranscriptState state = TranscriptState::Open;
    std::string finishReason;
    Usage usage;
    ServiceAnswer answer;
    Refusal refusal;
};

/// What an attempt resumes behind.
struct TranscriptPrefix {
    std::string content;
    std::size_t chunks = 0;
    std::uint64_t tokens = 0;
    bool textOnly = true; ///< False when a piece holds more than text, so that no engine can go on behind it.
};

/// The answer to one request as far as it has come. One attempt writes, any number of callers read. Thread-safe.
class Transcript
{
public:
    /// Gives the right to write to @p attempt, if the answer is open, no other attempt holds the right and none has written
    /// behind the first @p behind pieces.
    bool open(AttemptId attempt, std::size_t behind);
    /// Takes the right to write back from @p attempt; what it wrote stays.
    void release(AttemptId attempt);
    /// Appends a piece; false when @p attempt may not write.
    bool append(AttemptId attempt, ResponseChunk chunk);
    /// Ends a model's answer; false when @p attempt may not write.
    bool finish(AttemptId attempt, std::string finishReason, std::uint64_t promptTokens);
    /// Ends a service's answer; false when @p attempt may not write.
    bool finish(AttemptId attempt, ServiceAnswer answer);
    /// Ends an open answer with a refusal.
    void refuse(Refusal refusal);
    /// Ends an open answer because another host goes on with it.
    void move();

    /// Lets no attempt write any more, so that the answer can be handed over as it is.
    void freeze();
    /// Lets attempts write again.
    void thaw();

    /// Takes in pieces written at another host. Precondition: no attempt has written yet.
    void restore(std::vector<ResponseChunk> chunks);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] TranscriptState state() const;
    [[nodiscard]] TranscriptPrefix prefix() const;
    /// The pieces from number @p from on, and the end if there is one.
    [[nodiscard]] TranscriptView view(std::size_t from) const;
    /// Waits until there is a piece behind the first @p seen, or an end, or wake() was called. Resumes on the executor of the caller.
    boost::asio::awaitable<void> wait(std::size_t seen);
    /// Resumes all waiting readers.
    void wake();

private:
    using Resume = std::function<void()>;
    /// Precondition: the mutex is held.
    [[nodiscard]] std::vector<Resume> takeReaders();
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
