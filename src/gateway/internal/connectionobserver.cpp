#include "gateway/internal/connectionobserver.h"

#include <spdlog/fmt/fmt.h>

namespace rosemaryshift::gateway {

ConnectionObserver::ConnectionObserver(GatewayContext &context, std::string_view sender)
    : m_context(context)
    , m_sender(sender)
{
}

void ConnectionObserver::onUnanswered(const http::UnansweredRequest &request)
{
    const std::string_view cause = http::name(request.cause);
    m_context.metrics.count("rosemaryshift_unanswered_total", fmt::format(R"(cause="{}",sender="{}")", cause, m_sender));
    m_context.eventLog.write("connection_unanswered",
                             eventlog::Importance::Failure,
                             {{"request", request.id},
                              {"cause", cause},
                              {"detail", request.detail},
                              {"sender", m_sender},
                              {"received", request.received},
                              {"answer_begun", request.answerBegun},
                              {"bytes_read", static_cast<std::int64_t>(request.bytesRead)},
                              {"waited_ms", static_cast<std::int64_t>(request.waited.count())}});
}

}
