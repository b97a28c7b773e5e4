#pragma once

#include "decisions/decisiontypes.h"
#include "http/httptypes.h"
#include "requests/requesttypes.h"

namespace rosemaryshift::entry {

/// Refusal sent to the caller of a request that the decision core has given up. Thread-safe.
requests::Refusal refusalOf(const decisions::RefuseRequest &action);
/// HTTP status and message of a refusal.
struct StatusAndMessage {
    int status = 503;
    std::string_view message;
};

/// Creates a refusal. @p retryAfter is set only when a retry can succeed. Thread-safe.
requests::Refusal makeRefusal(const StatusAndMessage &statusAndMessage, std::string_view code, RunState run, std::optional<Duration> retryAfter);
/// Creates a refusal of a request that was not run, without a time to retry. Thread-safe.
requests::Refusal notRunRefusal(int status, std::string_view code, std::string_view message);
/// JSON error of a refusal, in the format of the OpenAI API. Thread-safe.
std::string errorBody(const requests::Refusal &refusal);
/// HTTP response for a refusal; @p requestId may be empty. Thread-safe.
http::Response refusalResponse(const requests::Refusal &refusal, std::string_view requestId);

}
