#pragma once

#include "decisions/decisiontypes.h"
#include "http/httptypes.h"
#include "requests/requesttypes.h"

namespace rosemaryshift::entry {

/// What a caller is told when the decision core gives its request up. Thread-safe.
requests::Refusal refusalOf(const decisions::RefuseRequest &action);
/// Status and message of a refusal.
struct StatusAndMessage {
    int status = 503;
    std::string_view message;
};

/// Makes a refusal; without @p retryAfter coming back does not help. Thread-safe.
requests::Refusal makeRefusal(const StatusAndMessage &statusAndMessage, std::string_view code, RunState run, std::optional<Duration> retryAfter);
/// A refusal for a request that the caller has to change. Thread-safe.
requests::Refusal notRunRefusal(int status, std::string_view code, std::string_view message);
/// The OpenAI-shaped JSON error of a refusal. Thread-safe.
std::string errorBody(const requests::Refusal &refusal);
/// The whole answer that carries a refusal; @p requestId may be empty. Thread-safe.
http::Response refusalResponse(const requests::Refusal &refusal, std::string_view requestId);

}
