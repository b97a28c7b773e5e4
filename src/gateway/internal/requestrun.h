#pragma once

#include "gateway/internal/attemptstate.h"
#include "gateway/internal/eventsplitter.h"
#include "gateway/internal/gatewaycontext.h"
#include "http/ihttpclient.h"
#include "http/ihttpserver.h"

#include <memory>
#include <set>

namespace rosemaryshift::gateway {

/// Serves one attempt of a caller from its arrival to its final answer. Used from the coroutine of its connection.
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(GatewayContext &context, http::Request request, http::IResponseWriter &writer);

    /// Answers the caller, or closes the connection when an answer that has begun cannot be ended.
    boost::asio::awaitable<void> run();

private:
    /// Kept of the caller's time, for the way back of the answer.
    static constexpr std::chrono::milliseconds AnswerMargin{20};

    /// How one offer to an upstream ended.
    enum class OfferEnd : std::uint8_t {
        Answered, ///< The caller has its final answer, or is gone.
        Again,    ///< Another upstream may be tried.
    };

    bool accept();
    bool admit();
    boost::asio::awaitable<OfferEnd> offer(const balancing::Choice &choice, const directory::UpstreamEntry &upstream);
    boost::asio::awaitable<std::optional<http::Response>> readHead(const directory::UpstreamEntry &upstream, ports::ResponseMetadata &metadata);
    boost::asio::awaitable<OfferEnd> takeAnswer(http::Response answer, const ports::ResponseMetadata &metadata);
    boost::asio::awaitable<OfferEnd> passOnStream(http::Response answer);
    boost::asio::awaitable<OfferEnd> passOnWhole(http::Response answer, const ports::ResponseMetadata &metadata);
    boost::asio::awaitable<std::optional<std::string>> readBody();
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> refuse(int status, std::string_view reason, std::optional<Duration> retryAfter);
    boost::asio::awaitable<void> respond(http::Response response);

    [[nodiscard]] std::optional<balancing::Choice> choose(TimePoint now);
    [[nodiscard]] bool mayOfferAgain(TimePoint now);
    [[nodiscard]] http::ClientTimeouts timeouts(const balancing::Choice &choice, TimePoint now) const;
    [[nodiscard]] Duration left(TimePoint now) const;
    [[nodiscard]] balancing::RequestProfile demand() const;
    [[nodiscard]] ports::UpstreamPriority upstreamPriority() const;
    void noteFirst();
    void endOffer(balancing::AttemptEnd how);
    void logEnd(std::string_view outcome, int status, std::string_view reason);

    GatewayContext &m_context;
    const http::Request m_request;
    http::IResponseWriter &m_writer;
    const TimePoint m_arrived;
    ports::CallerRequest m_caller;
    std::shared_ptr<const routing::RouteTable> m_table;
    const routing::Route *m_route = nullptr;
    const routing::Workspace *m_workspace = nullptr;
    std::string m_service;
    double m_cost = 0; ///< Taken from the workspace's quota.
    TimePoint m_end;   ///< When the caller's time or the route's timeout is over.
    std::optional<AttemptState> m_state;
    std::optional<Duration> m_retryAfter; ///< What a refusal tells the caller to wait, before it is spread.
    int m_refusalStatus = 0;
    std::string m_reason;

    std::shared_ptr<http::IExchange> m_exchange; ///< The offer under way.
    std::uint64_t m_attempt = 0;                 ///< Its number at the balancer.
    std::set<std::string> m_tried;
    std::string m_instance;
    EventSplitter m_events;
    std::optional<Duration> m_firstAfter;
    bool m_usageCounted = false;
    bool m_streaming = false; ///< The head of a stream went to the caller.
};

}
