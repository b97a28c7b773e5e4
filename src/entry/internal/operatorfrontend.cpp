#include "entry/internal/operatorfrontend.h"

#include "base/json.h"
#include "base/text.h"
#include "entry/internal/refusals.h"
#include "templates/templaterecords.h"
#include "timeline/timelinejson.h"

namespace rosemaryshift::entry {

namespace net = boost::asio;
using http::Request;
using http::Response;

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

Response jsonResponse(const Json::Value &value, int status = 200)
{
    Response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = toText(value);
    return response;
}

Response textResponse(int status, std::string body)
{
    Response response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = std::move(body);
    return response;
}

bool authorized(const Request &request, std::string_view token)
{
    const std::string_view field = request.headers.find("Authorization").value_or("");
    return field.starts_with(BearerPrefix) && equalSecrets(field.substr(BearerPrefix.size()), token);
}

Json::Value toJson(const std::pair<platform::ListedHost, bool> &upstream)
{
    Json::Value row;
    row["name"] = upstream.first.name;
    row["zone"] = upstream.first.zone;
    row["address"] = upstream.first.endpoint.text();
    row["machine_class"] = upstream.first.machineClass;
    row["price"] = upstream.first.price;
    row["state"] = upstream.second ? "live" : "leaving";
    return row;
}

Json::Value toJson(const PeerStatus &status)
{
    Json::Value row;
    row["name"] = status.peer.name;
    row["zone"] = status.peer.zone;
    row["leaving"] = status.peer.leaving;
    row["log_reachable"] = status.templates.logReachable;
    row["log_position"] = Json::UInt64(status.templates.logPosition);
    row["same_templates"] = status.sameTemplates;
    row["lag"] = status.lag;
    row["revisions"] = Json::Value(Json::objectValue);
    for (const auto &[workspace, revision] : status.templates.revisions) {
        row["revisions"][workspace] = Json::UInt64(revision);
    }
    return row;
}

Json::Value withoutText(const templates::StatedRevision &revision)
{
    Json::Value row = templates::toJson(revision);
    row.removeMember("text");
    return row;
}

int statusOf(PublishVerdict verdict)
{
    switch (verdict) {
    case PublishVerdict::Accepted:
        return 200;
    case PublishVerdict::Conflict:
        return 409;
    case PublishVerdict::Invalid:
        return 422;
    case PublishVerdict::PlatformDown:
        return 503;
    case PublishVerdict::Unknown:
        return 504;
    }
    return 500;
}

std::string_view nameOf(PublishVerdict verdict)
{
    switch (verdict) {
    case PublishVerdict::Accepted:
        return "accepted";
    case PublishVerdict::Conflict:
        return "conflict";
    case PublishVerdict::Invalid:
        return "invalid";
    case PublishVerdict::PlatformDown:
        return "platform_down";
    case PublishVerdict::Unknown:
        return "unknown";
    }
    return "unknown";
}

Response toResponse(const PublishResult &result)
{
    Json::Value object;
    object["verdict"] = std::string(nameOf(result.verdict));
    object["revision"] = Json::UInt64(result.revision);
    object["reason"] = result.reason;
    return jsonResponse(object, statusOf(result.verdict));
}

std::optional<PublishRequest> requestFromBody(std::string_view body)
{
    std::string reason;
    const std::optional<Json::Value> object = parseJson(body, reason);
    if (!object) {
        return std::nullopt;
    }
    const std::optional<std::string> workspace = stringMember(*object, "workspace");
    const std::optional<std::uint64_t> base = unsignedMember(*object, "base");
    const std::optional<std::string> change = stringMember(*object, "change");
    const std::optional<std::string> author = stringMember(*object, "author");
    const std::optional<std::string> text = stringMember(*object, "text");
    if (!workspace || !base || !change || change->empty() || !author || !text) {
        return std::nullopt;
    }
    std::string file = stringMember(*object, "file").value_or(*workspace);
    return PublishRequest{{*workspace, *base, *change, *author, *text}, std::move(file)};
}

}

OperatorFrontend::OperatorFrontend(HostController &controller,
                                   std::shared_ptr<timeline::ITimeline> timeline,
                                   std::shared_ptr<metrics::IMetrics> metrics,
                                   std::string token)
    : m_controller(controller)
    , m_timeline(std::move(timeline))
    , m_metrics(std::move(metrics))
    , m_operatorToken(std::move(token))
{
}

net::awaitable<void> OperatorFrontend::handle(Request request, http::IResponseWriter &writer)
{
    const std::string path(http::path(request.target));
    const bool isPublic = path == "/healthz" || path == "/readyz";
    Response response;
    if (isPublic || authorized(request, m_operatorToken)) {
        response = co_await route(std::move(request));
    } else {
        response = refusalResponse(notRunRefusal(401, "invalid_token", "operators present the token of this host's token file"), {});
    }
    co_await writer.respond(std::move(response));
}

net::awaitable<Response> OperatorFrontend::route(Request request)
{
    const std::string path(http::path(request.target));
    if (path == "/healthz") {
        co_return textResponse(200, "ok\n");
    }
    if (path == "/readyz") {
        co_return m_controller.ready() ? textResponse(200, "ready\n") : textResponse(503, "not ready\n");
    }
    if (path == "/metrics") {
        co_return co_await metrics();
    }
    if (path == "/timeline") {
        co_return showTimeline(request);
    }
    if (path == "/v1/status") {
        co_return co_await status();
    }
    if (path == "/v1/templates" && request.method == "GET") {
        co_return co_await showTemplates();
    }
    if (path == "/v1/templates" && request.method == "POST") {
        co_return co_await publish(std::move(request), false);
    }
    if (path == "/v1/templates/check" && request.method == "POST") {
        co_return co_await publish(std::move(request), true);
    }
    if (path == "/v1/templates/history") {
        co_return co_await showHistory(std::move(request));
    }
    co_return refusalResponse(notRunRefusal(404, "unknown_path", "there is nothing at " + path), {});
}

net::awaitable<Response> OperatorFrontend::publish(Request request, bool checkOnly)
{
    std::optional<PublishRequest> change = requestFromBody(request.body);
    if (!change) {
        co_return refusalResponse(notRunRefusal(400, "invalid_request", "a change needs workspace, base, change, author and text"), {});
    }
    if (checkOnly) {
        const std::optional<PublishResult> refusal = co_await m_controller.check(std::move(*change));
        co_return refusal ? toResponse(*refusal) : jsonResponse(Json::Value(Json::objectValue));
    }
    const PublishResult result = co_await m_controller.publish(std::move(*change));
    co_return toResponse(result);
}

net::awaitable<Response> OperatorFrontend::showHistory(Request request)
{
    const std::string workspace = http::queryValue(request.target, "workspace").value_or("");
    const std::vector<templates::StatedRevision> history = co_await m_controller.history(workspace);
    Json::Value object;
    object["revisions"] = Json::Value(Json::arrayValue);
    for (const templates::StatedRevision &revision : history) {
        object["revisions"].append(templates::toJson(revision));
    }
    co_return jsonResponse(object);
}

net::awaitable<Response> OperatorFrontend::status()
{
    const HostStatus status = co_await m_controller.status();
    Json::Value object;
    object["ready"] = status.ready;
    object["stopping"] = status.stopping;
    object["log_reachable"] = status.logReachable;
    object["log_position"] = Json::UInt64(status.logPosition);
    object["open_requests"] = Json::UInt64(status.openRequests);
    object["name"] = status.name;
    object["zone"] = status.zone;
    object["replica_records"] = Json::UInt64(status.replicaRecords);
    object["upstreams"] = Json::Value(Json::arrayValue);
    for (const std::pair<platform::ListedHost, bool> &upstream : status.upstreams) {
        object["upstreams"].append(toJson(upstream));
    }
    object["templates"] = Json::Value(Json::arrayValue);
    for (const templates::StatedRevision &row : status.templates) {
        object["templates"].append(withoutText(row));
    }
    object["peers"] = Json::Value(Json::arrayValue);
    for (const PeerStatus &peer : status.peers) {
        object["peers"].append(toJson(peer));
    }
    co_return jsonResponse(object);
}

net::awaitable<Response> OperatorFrontend::showTemplates()
{
    const HostStatus status = co_await m_controller.status();
    Json::Value object;
    object["templates"] = Json::Value(Json::arrayValue);
    for (const templates::StatedRevision &row : status.templates) {
        object["templates"].append(templates::toJson(row));
    }
    co_return jsonResponse(object);
}

net::awaitable<Response> OperatorFrontend::metrics()
{
    const HostStatus status = co_await m_controller.status();
    std::string text;
    text += "# TYPE rosemaryshift_open_requests gauge\nrosemaryshift_open_requests " + std::to_string(status.openRequests) + "\n";
    text += "# TYPE rosemaryshift_ready gauge\nrosemaryshift_ready " + std::to_string(status.ready ? 1 : 0) + "\n";
    text += "# TYPE rosemaryshift_log_position gauge\nrosemaryshift_log_position " + std::to_string(status.logPosition) + "\n";
    text += m_metrics->text();
    co_return textResponse(200, std::move(text));
}

Response OperatorFrontend::showTimeline(const Request &request) const
{
    const std::string since = http::queryValue(request.target, "since").value_or("0");
    const std::optional<timeline::Stamp> stamp = timeline::Stamp::parse(since);
    if (!stamp) {
        return refusalResponse(notRunRefusal(400, "invalid_stamp", "since must be a stamp as in the time line"), {});
    }
    return jsonResponse(timeline::toJson(timeline::TimelinePage{m_timeline->since(*stamp), m_timeline->dropped()}));
}

}
