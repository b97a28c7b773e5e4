#include "http/internal/requestprogress.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace rosemaryshift::http {

namespace net = boost::asio;
namespace beast = boost::beast;

namespace {

bool meansCallerLeft(beast::error_code error)
{
    return error == net::error::eof || error == net::error::connection_reset || error == net::error::broken_pipe || error == beast::http::error::end_of_stream
        || error == beast::http::error::partial_message;
}

}

std::string_view name(UnansweredCause cause)
{
    switch (cause) {
    case UnansweredCause::CallerLeft:
        return "caller_left";
    case UnansweredCause::ReadCancelled:
        return "read_cancelled";
    case UnansweredCause::ReadFailed:
        return "read_failed";
    case UnansweredCause::NotAnswered:
        return "not_answered";
    case UnansweredCause::HandlerFailed:
        return "handler_failed";
    case UnansweredCause::Aborted:
        return "aborted";
    case UnansweredCause::WriteTimedOut:
        return "write_timed_out";
    case UnansweredCause::WriteFailed:
        return "write_failed";
    }
    return "unknown";
}

RequestProgress::RequestProgress(std::shared_ptr<IServerObserver> observer)
    : m_observer(std::move(observer))
{
}

void RequestProgress::start(std::size_t buffered)
{
    m_state = {};
    noteRead(buffered);
}

void RequestProgress::noteRead(std::size_t bytes)
{
    if (m_state.bytesRead == 0 && bytes > 0) {
        m_state.startedAt = std::chrono::steady_clock::now();
    }
    m_state.bytesRead += bytes;
}

void RequestProgress::noteReceived()
{
    m_state.received = true;
}

void RequestProgress::setId(std::string_view id)
{
    m_state.id = id;
}

void RequestProgress::noteAnswerBegun()
{
    m_state.answerBegun = true;
}

void RequestProgress::noteAnswered()
{
    m_state.answered = true;
}

bool RequestProgress::answered() const
{
    return m_state.answered;
}

void RequestProgress::noteFailure(UnansweredCause cause, std::string_view detail)
{
    if (!m_state.cause) {
        m_state.cause = cause;
        m_state.detail = detail;
    }
}

void RequestProgress::noteException(std::string_view detail)
{
    m_state.cause = UnansweredCause::HandlerFailed;
    m_state.detail = detail;
}

void RequestProgress::noteReadFailure(beast::error_code error)
{
    UnansweredCause cause = UnansweredCause::ReadFailed;
    if (meansCallerLeft(error)) {
        cause = UnansweredCause::CallerLeft;
    } else if (error == net::error::operation_aborted) {
        cause = UnansweredCause::ReadCancelled;
    }
    noteFailure(cause, error.message());
}

void RequestProgress::noteWriteFailure(beast::error_code error)
{
    UnansweredCause cause = UnansweredCause::WriteFailed;
    if (meansCallerLeft(error)) {
        cause = UnansweredCause::CallerLeft;
    } else if (error == beast::error::timeout) {
        cause = UnansweredCause::WriteTimedOut;
    }
    noteFailure(cause, error.message());
}

void RequestProgress::end()
{
    const bool succeeded = m_state.answered && m_state.cause != UnansweredCause::HandlerFailed;
    if (!m_observer || m_state.bytesRead == 0 || m_state.reported || succeeded) {
        return;
    }
    m_state.reported = true;
    UnansweredRequest request;
    request.cause = m_state.cause.value_or(UnansweredCause::NotAnswered);
    request.detail = m_state.detail;
    request.id = m_state.id;
    request.received = m_state.received;
    request.answerBegun = m_state.answerBegun;
    request.bytesRead = m_state.bytesRead;
    request.waited = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_state.startedAt);
    m_observer->onUnanswered(request);
}

}
