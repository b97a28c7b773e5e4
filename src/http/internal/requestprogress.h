#pragma once

#include "http/iserverobserver.h"

#include <boost/beast/core/error.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::http {

/// How far one request of a connection has come. Reports the request to the observer if it ends without a complete answer. Not thread-safe.
class RequestProgress
{
public:
    /// @p observer may be null.
    explicit RequestProgress(std::shared_ptr<IServerObserver> observer);

    /// Starts the next request, of which @p buffered bytes were read together with the one before it.
    void start(std::size_t buffered);
    /// Adds @p bytes that were read.
    void noteRead(std::size_t bytes);
    /// The request was received completely.
    void noteReceived();
    /// Sets the id that is reported.
    void setId(std::string_view id);
    /// Sending an answer has started.
    void noteAnswerBegun();
    /// A complete answer was sent.
    void noteAnswered();
    /// Whether a complete answer was sent.
    [[nodiscard]] bool answered() const;
    /// Sets why there will be no complete answer, unless a cause was set before.
    void noteFailure(UnansweredCause cause, std::string_view detail);
    /// The handler ended with an exception. Replaces a cause that was set before.
    void noteException(std::string_view detail);
    /// As noteFailure() for a read that ended with @p error.
    void noteReadFailure(boost::beast::error_code error);
    /// As noteFailure() for a write that ended with @p error.
    void noteWriteFailure(boost::beast::error_code error);
    /// Ends the request. Reports it, once, if bytes of it were read and no complete answer was sent or the handler ended with an exception.
    void end();

private:
    /// State of one request.
    struct State {
        std::string id;
        std::optional<UnansweredCause> cause;
        std::string detail;
        std::size_t bytesRead = 0;
        std::chrono::steady_clock::time_point startedAt; ///< Time of the first bytes.
        bool received = false;
        bool answerBegun = false;
        bool answered = false;
        bool reported = false;
    };

    const std::shared_ptr<IServerObserver> m_observer;
    State m_state;
};

}
