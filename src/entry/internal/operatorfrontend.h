#pragma once

#include "entry/internal/hostcontroller.h"
#include "http/ihttpserver.h"

namespace rosemaryshift::entry {

/// HTTP API for operators: health, readiness, metrics, event timeline, status and templates. Thread-safe.
class OperatorFrontend
{
public:
    OperatorFrontend(HostController &controller, std::shared_ptr<timeline::ITimeline> timeline, std::shared_ptr<metrics::IMetrics> metrics, std::string token);

    /// Answers one request of an operator; all paths but health and readiness require the token.
    boost::asio::awaitable<void> handle(http::Request request, http::IResponseWriter &writer);

private:
    boost::asio::awaitable<http::Response> route(http::Request request);
    boost::asio::awaitable<http::Response> publish(http::Request request, bool checkOnly);
    boost::asio::awaitable<http::Response> showHistory(http::Request request);
    boost::asio::awaitable<http::Response> status();
    boost::asio::awaitable<http::Response> metrics();
    boost::asio::awaitable<http::Response> showTemplates();
    http::Response showTimeline(const http::Request &request) const;

    HostController &m_controller;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const std::shared_ptr<metrics::IMetrics> m_metrics;
    const std::string m_operatorToken;
};

}
