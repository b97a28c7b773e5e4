#include "requests/transcript.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace rosemaryshift::requests {

namespace net = boost::asio;

namespace {

void resumeAll(std::vector<std::function<void()>> readers)
{
    for (const std::function<void()> &resume : readers) {
        resume();
    }
}

std::uint64_t tokensOf(const std::vector<ResponseChunk> &chunks)
{
    return std::accumulate(chunks.begin(), chunks.end(), std::uint64_t{0}, [](std::uint64_t sum, const ResponseChunk &chunk) { return sum + chunk.tokens; });
}

}

std::vector<Transcript::Resume> Transcript::takeReaders()
{
    return std::exchange(m_readers, {});
}

bool Transcript::open(AttemptId attempt, std::size_t chunks)
{
    const std::lock_guard lock(m_mutex);
    if (m_state != TranscriptState::Open || m_frozen) {
        return false;
    }
    if (m_writer) {
        return m_writer == attempt;
    }
    if (m_chunks.size() != chunks) {
        return false;
    }
    m_writer = attempt;
    return true;
}

void Transcript::release(AttemptId attempt)
{
    const std::lock_guard lock(m_mutex);
    if (m_writer == attempt) {
        m_writer.reset();
    }
}

bool Transcript::append(AttemptId attempt, ResponseChunk chunk)
{
    std::vector<Resume> readers;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != TranscriptState::Open || m_writer != attempt) {
            return false;
        }
        m_chunks.push_back(std::move(chunk));
        readers = takeReaders();
    }
    resumeAll(std::move(readers));
    return true;
}

bool Transcript::finish(AttemptId attempt, std::string finishReason, std::uint64_t promptTokens)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != TranscriptState::Open || m_writer != attempt) {
            return false;
        }
        m_finishReason = std::move(finishReason);
        m_usage = {promptTokens, tokensOf(m_chunks)};
    }
    return endWith(TranscriptState::Complete);
}

bool Transcript::finish(AttemptId attempt, ServiceAnswer answer)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != TranscriptState::Open || m_writer != attempt) {
            return false;
        }
        m_answer = std::move(answer);
    }
    return endWith(TranscriptState::Complete);
}

void Transcript::refuse(Refusal refusal)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != TranscriptState::Open) {
            return;
        }
        m_refusal = std::move(refusal);
    }
    endWith(TranscriptState::Refused);
}

void Transcript::move()
{
    endWith(TranscriptState::Moved);
}

bool Transcript::endWith(TranscriptState state)
{
    std::vector<Resume> readers;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != TranscriptState::Open) {
            return false;
        }
        m_state = state;
        m_writer.reset();
        readers = takeReaders();
    }
    resumeAll(std::move(readers));
    return true;
}

void Transcript::freeze()
{
    const std::lock_guard lock(m_mutex);
    m_frozen = true;
    m_writer.reset();
}

void Transcript::thaw()
{
    const std::lock_guard lock(m_mutex);
    m_frozen = false;
}

void Transcript::restore(std::vector<ResponseChunk> chunks)
{
    const std::lock_guard lock(m_mutex);
    m_chunks = std::move(chunks);
}

std::size_t Transcript::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_chunks.size();
}

TranscriptState Transcript::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

TranscriptPrefix Transcript::prefix() const
{
    const std::lock_guard lock(m_mutex);
    TranscriptPrefix prefix;
    for (const ResponseChunk &chunk : m_chunks) {
        prefix.content += chunk.content;
        prefix.textOnly = prefix.textOnly && !chunk.content.empty();
    }
    prefix.chunks = m_chunks.size();
    prefix.tokens = tokensOf(m_chunks);
    return prefix;
}

TranscriptView Transcript::view(std::size_t from) const
{
    const std::lock_guard lock(m_mutex);
    TranscriptView view;
    const std::size_t first = std::min(from, m_chunks.size());
    view.chunks.assign(m_chunks.begin() + static_cast<std::ptrdiff_t>(first), m_chunks.end());
    view.state = m_state;
    view.finishReason = m_finishReason;
    view.usage = m_usage;
    view.answer = m_answer;
    view.refusal = m_refusal;
    return view;
}

net::awaitable<void> Transcript::wait(std::size_t seen)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    const std::shared_ptr<net::steady_timer> timer = std::make_shared<net::steady_timer>(executor, net::steady_timer::time_point::max());
    {
        const std::lock_guard lock(m_mutex);
        if (m_chunks.size() > seen || m_state != TranscriptState::Open) {
            co_return;
        }
        m_readers.emplace_back([timer] { net::post(timer->get_executor(), [timer] { timer->cancel(); }); });
    }
    co_await timer->async_wait(net::as_tuple(net::use_awaitable));
}

void Transcript::wake()
{
    std::vector<Resume> readers;
    {
        const std::lock_guard lock(m_mutex);
        readers = takeReaders();
    }
    resumeAll(std::move(readers));
}

}
