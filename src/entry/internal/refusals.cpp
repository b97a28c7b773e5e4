#include "entry/internal/refusals.h"

#include "base/json.h"
#include "base/text.h"

namespace rosemaryshift::entry {

using decisions::RefusalCode;
using requests::Refusal;

namespace {

StatusAndMessage statusAndMessageOf(RefusalCode code)
{
    switch (code) {
    case RefusalCode::OverLimit:
        return {429, "the workspace is at its limit and its queue is full"};
    case RefusalCode::Overloaded:
        return {503, "the request would start too late for its deadline"};
    case RefusalCode::NoUpstream:
        return {503, "no live upstream serves the target"};
    case RefusalCode::DeadlinePassed:
        return {504, "the deadline passed before the whole answer was there"};
    case RefusalCode::AttemptsFailed:
        return {502, "every permitted attempt failed"};
    case RefusalCode::OutcomeUnknown:
        return {504, "the call may have run; it is not repeated"};
    case RefusalCode::RouteWithdrawn:
        return {404, "the workspace's template does not name the target any more"};
    case RefusalCode::Rejected:
        return {400, "the upstream rejected the request"};
    case RefusalCode::HostStopping:
        return {503, "this host is stopping; come back to reach another"};
    case RefusalCode::Quarantined:
        return {503, "upstreams crashed while they ran requests equal to this one"};
    }
    return {503, ""};
}

/// Whole seconds for Retry-After, rounded up so that clients do not retry too early.
std::int64_t secondsRoundedUp(std::chrono::milliseconds time)
{
    return std::chrono::ceil<std::chrono::seconds>(time).count();
}

}

Refusal makeRefusal(const StatusAndMessage &statusAndMessage, std::string_view code, RunState run, std::optional<Duration> retryAfter)
{
    Refusal refusal;
    refusal.status = statusAndMessage.status;
    refusal.code = std::string(code);
    refusal.message = std::string(statusAndMessage.message);
    refusal.run = run;
    if (retryAfter) {
        refusal.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*retryAfter);
    }
    return refusal;
}

Refusal refusalOf(const decisions::RefuseRequest &action)
{
    const bool retryable = action.retryAfter > Duration(0) || action.code == RefusalCode::HostStopping;
    const Duration retryAfter = action.code == RefusalCode::HostStopping ? Duration(0) : action.retryAfter;
    return makeRefusal(statusAndMessageOf(action.code), name(action.code), action.run, retryable ? std::optional(retryAfter) : std::nullopt);
}

Refusal notRunRefusal(int status, std::string_view code, std::string_view message)
{
    return makeRefusal({status, message}, code, RunState::NotRun, std::nullopt);
}

std::string errorBody(const Refusal &refusal)
{
    Json::Value error;
    error["message"] = refusal.message;
    error["type"] = refusal.status < 500 ? "invalid_request_error" : "server_error";
    error["code"] = refusal.code;
    Json::Value object;
    object["error"] = error;
    return toText(object);
}

http::Response refusalResponse(const Refusal &refusal, std::string_view requestId)
{
    http::Response response;
    response.status = refusal.status;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("Rosemaryshift-Run", name(refusal.run));
    if (!requestId.empty()) {
        response.headers.add("Rosemaryshift-Request", requestId);
    }
    if (refusal.retryAfter) {
        response.headers.add("Retry-After", std::to_string(secondsRoundedUp(*refusal.retryAfter)));
    }
    response.body = errorBody(refusal);
    return response;
}

}
