#pragma once

#include "http/httptypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::testing {

/// Sends one request and returns its complete answer; fails the test when none arrives.
http::Response exchange(const http::Endpoint &endpoint, const http::Request &request);
/// Sends one request and waits for its complete answer; returns nothing when the connection breaks.
std::optional<http::Response> tryExchange(const http::Endpoint &endpoint, const http::Request &request);
/// Makes a request without header fields.
http::Request makeRequest(const std::string &method, const std::string &target, const std::string &body = {});

/// A request whose answer is received on a separate thread, so that the test can act before the answer is complete.
class PendingExchange
{
public:
    PendingExchange(const http::Endpoint &endpoint, http::Request request);
    ~PendingExchange();
    PendingExchange(const PendingExchange &) = delete;
    PendingExchange &operator=(const PendingExchange &) = delete;

    /// Waits until the body received so far contains @p text; fails the test when the answer ends first.
    void awaitText(const std::string &text);
    /// Waits for the complete answer; returns nothing when the connection broke.
    std::optional<http::Response> awaitEnd();
    /// Returns the part of the body received so far.
    [[nodiscard]] std::string bodySoFar() const;
    /// Closes the connection without waiting for the rest.
    void abandon();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Polls @p condition until it is true; fails the test when it is not within WaitLimit. @p what completes "waiting for:" in the
/// failure message, and @p state, if given, ends it.
void awaitCondition(const std::string &what, const std::function<bool()> &condition, const std::function<std::string()> &state = nullptr);

}
