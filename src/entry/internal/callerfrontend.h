#pragma once

#include "entry/internal/hostcontroller.h"
#include "entry/internal/requestlocator.h"
#include "entry/internal/ticketfrontend.h"
#include "http/ihttpserver.h"

#include <memory>

namespace rosemaryshift::entry {

/// HTTP API for callers: chat completions, reattaching to a request, tickets and plain services. Each call runs on the
/// strand of its connection. Thread-safe.
class CallerFrontend
{
public:
    CallerFrontend(HostController &controller,
                   std::shared_ptr<requests::RequestRegistry> registry,
                   std::shared_ptr<TemplateView> templates,
                   std::shared_ptr<RequestLocator> locator,
                   TicketFrontend &tickets);

    /// Answers one request of a caller, who is identified by an API key of a workspace.
    boost::asio::awaitable<void> handle(http::Request request, http::IResponseWriter &writer);

private:
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;
    struct RequestOptions {
        std::optional<TrafficClass> trafficClass;
        std::optional<std::chrono::milliseconds> deadline;
    };

    boost::asio::awaitable<void> routeRequest(TemplatePtr workspace, http::Request request, http::IResponseWriter &writer);
    boost::asio::awaitable<void> chat(TemplatePtr workspace, http::Request request, http::IResponseWriter &writer);
    boost::asio::awaitable<void> reattach(TemplatePtr workspace, http::Request request, http::IResponseWriter &writer);
    /// Forwards a reattach to the host that holds the request @p id, or refuses it.
    boost::asio::awaitable<void> reattachOnOtherHost(std::string id, http::Request request, http::IResponseWriter &writer);
    boost::asio::awaitable<void> callService(TemplatePtr workspace, http::Request request, http::IResponseWriter &writer);
    /// Streams the answer as server-sent events, starting after the first @p from chunks.
    boost::asio::awaitable<void> stream(RecordPtr record, std::size_t from, http::IResponseWriter &writer);
    boost::asio::awaitable<void> endStream(RecordPtr record, std::size_t seen, const requests::TranscriptView &view, http::IResponseWriter &writer);
    boost::asio::awaitable<void> respondUnstreamed(RecordPtr record, http::IResponseWriter &writer);
    boost::asio::awaitable<requests::TranscriptView> awaitTranscriptEnd(RecordPtr record, http::IResponseWriter &writer);
    /// Counts a caller that waits for the answer, and wakes it when its connection closes.
    void addReader(const RecordPtr &record, http::IResponseWriter &writer);
    std::optional<RequestOptions> readRequestOptions(const http::Request &request, requests::Refusal &refusal) const;

    HostController &m_controller;
    const std::shared_ptr<requests::RequestRegistry> m_registry;
    const std::shared_ptr<TemplateView> m_templates;
    const std::shared_ptr<RequestLocator> m_locator;
    TicketFrontend &m_ticketFrontend;
};

}
