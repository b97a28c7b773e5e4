#pragma once

#include "http/httptypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemaryshift::testing {

/// Sends one request and waits for its whole answer; fails the test when there is none.
http::Response exchange(const http::Endpoint &endpoint, const http::Request &request);
/// Sends one request and waits for its whole answer; nothing when the connection breaks.
std::optional<http::Response> tryExchange(const http::Endpoint &endpoint, const http::Request &request);
/// Makes a request with a body.
http::Request makeRequest(const std::string &method, const std::string &target, const std::string &body = {});

/// One exchange that runs beside the test, for answers that take their time.
class PendingExchange
{
public:
    PendingExchange(const http::Endpoint &endpoint, http::Request request);
    ~PendingExchange();
    PendingExchange(const PendingExchange &) = delete;
    PendingExchange &operator=(const PendingExchange &) = delete;

    /// Waits until the body so far holds @p text; fails the test when the answer ends before.
    void awaitText(const std::string &text);
    /// Waits for the whole answer; nothing when the connection broke.
    std::optional<http::Response> awaitEnd();
    /// The body as far as it has come.
    [[nodiscard]] std::string bodySoFar() const;
    /// Closes the connection without waiting for the rest.
    void abandon();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Calls @p condition until it is true; fails the test when it is not within the limit.
void awaitCondition(const std::string &what, const std::function<bool()> &condition);

}
