#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rosemaryshift::http {

/// Why a request that was received, wholly or in part, got no complete answer from its handler.
enum class UnansweredCause : std::uint8_t {
    CallerLeft,    ///< The caller closed or reset the connection.
    ReadCancelled, ///< The server cancelled its own wait for the caller, although no timeout had expired.
    ReadFailed,    ///< Reading failed for another reason.
    NotAnswered,   ///< The handler returned without an answer.
    HandlerFailed, ///< The handler, or the server itself, ended with an exception.
    Aborted,       ///< The handler aborted the answer.
    WriteTimedOut, ///< The caller did not take the answer in time.
    WriteFailed,   ///< Writing failed for another reason.
};

/// Name of @p cause in log lines and metrics. Thread-safe.
std::string_view name(UnansweredCause cause);

/// A request that got no complete answer from its handler. The views are valid during the call only.
struct UnansweredRequest {
    UnansweredCause cause = UnansweredCause::NotAnswered;
    std::string_view detail;             ///< Text of the error; may be empty.
    std::string_view id;                 ///< As given to IResponseWriter::setRequestId(); may be empty.
    bool received = false;               ///< The request was received completely.
    bool answerBegun = false;            ///< Sending an answer had started.
    std::size_t bytesRead = 0;           ///< Bytes read for the request, with those of pipelined requests that came along.
    std::chrono::milliseconds waited{0}; ///< Time since the first bytes were read.
};

/// Observes the connections of a server.
class IServerObserver
{
public:
    virtual ~IServerObserver() = default;

    /// A request got no complete answer from its handler, and its connection ends; where none was begun, the server sends 500 after this call. Called on the
    /// executor of the connection.
    virtual void onUnanswered(const UnansweredRequest &request) = 0;
};

}
