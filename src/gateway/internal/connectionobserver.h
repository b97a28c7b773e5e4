#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "http/iserverobserver.h"

namespace rosemaryshift::gateway {

/// Counts and logs the requests that get no complete answer. Used from the gateway's only thread.
class ConnectionObserver : public http::IServerObserver
{
public:
    /// @p sender: who sends requests to the observed server, in log lines and metrics: "caller" or "peer".
    ConnectionObserver(GatewayContext &context, std::string_view sender);

    void onUnanswered(const http::UnansweredRequest &request) override;

private:
    GatewayContext &m_context;
    const std::string m_sender;
};

}
