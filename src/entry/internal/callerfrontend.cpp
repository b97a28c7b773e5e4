#include "entry/internal/callerfrontend.h"

#include "base/text.h"
#include "entry/internal/chatapi.h"
#include "entry/internal/forwarder.h"
#include "entry/internal/refusals.h"
#include "entry/internal/servicecallspec.h"

#include <algorithm>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using http::Request;
using http::Response;
using requests::Refusal;
using requests::RequestSpec;
using requests::TranscriptState;
using requests::TranscriptView;

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view RequestsPath = "/v1/requests/";
constexpr std::string_view ServicesPath = "/services/";
constexpr std::string_view TicketsPath = "/v1/tickets";
/// Retry-After of a request whose host was lost; the host with its replica detects the loss within this time.
constexpr std::chrono::milliseconds TakeOverRetryAfter{1'000};
constexpr std::uint64_t MaxDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::chrono::milliseconds ForwardIdleTimeout{60'000};

std::string_view bearerToken(const http::Headers &headers)
{
    const std::string_view field = headers.find("Authorization").value_or("");
    return field.starts_with(BearerPrefix) ? trimmed(field.substr(BearerPrefix.size())) : std::string_view();
}

std::string sseEvent(std::size_t id, std::string_view data)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(data) + "\n\n";
}

std::string namedSseEvent(std::string_view eventName, std::string_view data)
{
    return "event: " + std::string(eventName) + "\ndata: " + std::string(data) + "\n\n";
}

http::Headers streamHeaders(std::string_view requestId)
{
    http::Headers headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("Cache-Control", "no-cache");
    headers.add("Rosemaryshift-Request", requestId);
    return headers;
}

Refusal movedRefusal()
{
    Refusal refusal = notRunRefusal(503, "moved", "another host goes on with the request; ask for it by its id");
    refusal.run = RunState::Unknown;
    refusal.retryAfter = std::chrono::milliseconds(0);
    return refusal;
}

Response jsonResponse(std::string body)
{
    Response response;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

}

CallerFrontend::CallerFrontend(HostController &controller,
                               std::shared_ptr<requests::RequestRegistry> registry,
                               std::shared_ptr<TemplateView> templates,
                               std::shared_ptr<RequestLocator> locator,
                               TicketFrontend &tickets)
    : m_controller(controller)
    , m_registry(std::move(registry))
    , m_templates(std::move(templates))
    , m_locator(std::move(locator))
    , m_ticketFrontend(tickets)
{
}

net::awaitable<void> CallerFrontend::handle(Request request, http::IResponseWriter &writer)
{
    const TemplatePtr workspace = m_templates->findByApiKey(bearerToken(request.headers));
    if (!workspace) {
        Response refusal = refusalResponse(notRunRefusal(401, "invalid_api_key", "no workspace knows this key"), {});
        co_await writer.respond(std::move(refusal));
        co_return;
    }
    co_await routeRequest(workspace, std::move(request), writer);
}

net::awaitable<void> CallerFrontend::routeRequest(TemplatePtr workspace, Request request, http::IResponseWriter &writer)
{
    const std::string path(http::path(request.target));
    if (path == "/v1/chat/completions" && request.method == "POST") {
        co_await chat(std::move(workspace), std::move(request), writer);
    } else if (path == "/v1/models" && request.method == "GET") {
        Response response = jsonResponse(modelListJson(*workspace));
        co_await writer.respond(std::move(response));
    } else if (path.starts_with(RequestsPath) && request.method == "GET") {
        co_await reattach(std::move(workspace), std::move(request), writer);
    } else if (path == TicketsPath && request.method == "POST") {
        co_await m_ticketFrontend.mint(writer);
    } else if (path.starts_with(ServicesPath)) {
        co_await callService(std::move(workspace), std::move(request), writer);
    } else {
        Response refusal = refusalResponse(notRunRefusal(404, "unknown_path", "there is nothing at " + request.method + " " + path), {});
        co_await writer.respond(std::move(refusal));
    }
}

std::optional<CallerFrontend::RequestOptions> CallerFrontend::readRequestOptions(const Request &request, Refusal &refusal) const
{
    RequestOptions options;
    const std::optional<std::string_view> className = request.headers.find("Rosemaryshift-Class");
    if (className) {
        options.trafficClass = trafficClassFromName(*className);
        if (!options.trafficClass) {
            refusal = notRunRefusal(400, "unknown_class", "Rosemaryshift-Class names no traffic class");
            return std::nullopt;
        }
    }
    const std::optional<std::string_view> deadline = request.headers.find("Rosemaryshift-Deadline-Ms");
    if (deadline) {
        const std::optional<std::uint64_t> value = parseUnsigned(*deadline);
        if (!value || *value == 0 || *value > MaxDeadlineMs) {
            refusal = notRunRefusal(400, "invalid_deadline", "Rosemaryshift-Deadline-Ms must be a number of milliseconds up to a day");
            return std::nullopt;
        }
        options.deadline = std::chrono::milliseconds(*value);
    }
    return options;
}

net::awaitable<void> CallerFrontend::chat(TemplatePtr workspace, Request request, http::IResponseWriter &writer)
{
    Refusal refusal;
    const std::optional<ChatRequest> parsed = parseChatRequest(request.body, refusal);
    const std::optional<RequestOptions> options = parsed ? readRequestOptions(request, refusal) : std::nullopt;
    const templates::ModelRoute *const route = options ? workspace->model(parsed->model) : nullptr;
    if (options && route == nullptr) {
        refusal = notRunRefusal(404, "unknown_model", "the workspace has no model of this name");
    }
    if (route == nullptr) {
        Response response = refusalResponse(refusal, {});
        co_await writer.respond(std::move(response));
        co_return;
    }
    RequestSpec spec;
    spec.kind = requests::RequestKind::Chat;
    spec.workspace = workspace->workspace;
    spec.target = route->name;
    spec.trafficClass = options->trafficClass.value_or(route->defaultClass);
    const templates::ClassPolicy &policy = workspace->policy(spec.trafficClass);
    spec.deadline = options->deadline.value_or(policy.deadline);
    spec.firstToken = policy.firstToken;
    spec.priority = policy.priority;
    spec.promptTokens = parsed->promptTokens;
    spec.prefixHash = parsed->prefixHash;
    spec.maxTokens = parsed->maxTokens;
    spec.includeUsage = parsed->includeUsage;
    spec.body = std::move(request.body);
    const RecordPtr record = m_registry->add(std::move(spec));
    addReader(record, writer);
    m_controller.submit(record);
    if (parsed->stream) {
        co_await stream(record, 0, writer);
    } else {
        co_await respondUnstreamed(record, writer);
    }
}

net::awaitable<void> CallerFrontend::reattach(TemplatePtr workspace, Request request, http::IResponseWriter &writer)
{
    const std::string id(http::path(request.target).substr(RequestsPath.size()));
    const RecordPtr record = m_registry->find(id);
    if (!record || record->spec.workspace != workspace->workspace) {
        co_await reattachOnOtherHost(id, std::move(request), writer);
        co_return;
    }
    addReader(record, writer);
    if (record->suspended) {
        m_controller.submit(record);
    }
    const std::string accept(request.headers.find("Accept").value_or(""));
    const std::optional<std::string_view> lastEvent = request.headers.find("Last-Event-ID");
    if (record->spec.kind == requests::RequestKind::Chat && (lastEvent || accept.find("text/event-stream") != std::string::npos)) {
        co_await stream(record, parseUnsigned(lastEvent.value_or("0")).value_or(0), writer);
    } else {
        co_await respondUnstreamed(record, writer);
    }
}

net::awaitable<void> CallerFrontend::reattachOnOtherHost(std::string id, Request request, http::IResponseWriter &writer)
{
    Location location;
    if (!isForwarded(request)) {
        location = co_await m_locator->locate(id);
    }
    if (location.holder) {
        const ForwardResult result = co_await forward(location.holder->callerEndpoint, std::move(request), writer, ForwardIdleTimeout);
        if (result == ForwardResult::Answered || result == ForwardResult::Broken) {
            co_return;
        }
    }
    const bool mayBeTakenOver = location.holder || location.mayBeTakenOver;
    Refusal refusal = mayBeTakenOver ? notRunRefusal(503, "request_unavailable", "no host acts on this request now; one may take it over")
                                     : notRunRefusal(404, "unknown_request", "no request of this id is known here");
    refusal.run = RunState::Unknown;
    if (mayBeTakenOver) {
        refusal.retryAfter = TakeOverRetryAfter;
    }
    Response response = refusalResponse(refusal, id);
    co_await writer.respond(std::move(response));
}

net::awaitable<void> CallerFrontend::callService(TemplatePtr workspace, Request request, http::IResponseWriter &writer)
{
    Refusal refusal;
    const std::optional<RequestOptions> options = readRequestOptions(request, refusal);
    std::optional<RequestSpec> spec = options ? serviceSpec(*workspace, request, refusal) : std::nullopt;
    if (!spec) {
        Response response = refusalResponse(refusal, {});
        co_await writer.respond(std::move(response));
        co_return;
    }
    spec->deadline = options->deadline.value_or(workspace->policy(spec->trafficClass).deadline);
    std::optional<std::string> owner = spec->idempotent ? std::nullopt : m_ticketFrontend.foreignOwner(spec->idempotencyKey);
    if (owner) {
        co_await m_ticketFrontend.answerForeignBooking(std::move(*owner), std::move(*spec), std::move(request), writer);
        co_return;
    }
    const RecordPtr record = m_registry->add(std::move(*spec));
    addReader(record, writer);
    m_controller.submit(record);
    co_await respondUnstreamed(record, writer);
}

void CallerFrontend::addReader(const RecordPtr &record, http::IResponseWriter &writer)
{
    ++record->readers;
    writer.onCallerGone([record] { record->transcript.wake(); });
}

net::awaitable<TranscriptView> CallerFrontend::awaitTranscriptEnd(RecordPtr record, http::IResponseWriter &writer)
{
    while (record->transcript.state() == TranscriptState::Open && !writer.callerGone()) {
        co_await record->transcript.wait(record->transcript.size());
    }
    if (--record->readers == 0 && writer.callerGone()) {
        m_controller.callerLeft(record);
    }
    co_return record->transcript.view(0);
}

net::awaitable<void> CallerFrontend::respondUnstreamed(RecordPtr record, http::IResponseWriter &writer)
{
    const TranscriptView view = co_await awaitTranscriptEnd(record, writer);
    Response response;
    switch (view.state) {
    case TranscriptState::Open:
        co_return;
    case TranscriptState::Refused:
        response = refusalResponse(view.refusal, record->id);
        break;
    case TranscriptState::Moved:
        response = refusalResponse(movedRefusal(), record->id);
        break;
    case TranscriptState::Complete:
        if (record->spec.kind == requests::RequestKind::Chat) {
            response = jsonResponse(completionJson(record->id, record->spec.target, view));
        } else {
            response = serviceResponse(view.answer, record->spec.idempotent);
        }
        response.headers.add("Rosemaryshift-Request", record->id);
        break;
    }
    co_await writer.respond(std::move(response));
}

net::awaitable<void> CallerFrontend::stream(RecordPtr record, std::size_t from, http::IResponseWriter &writer)
{
    std::size_t seen = from;
    bool open = true;
    TranscriptView view = record->transcript.view(seen);
    while (open) {
        if (!view.chunks.empty() && !writer.started()) {
            http::Headers headers = streamHeaders(record->id);
            open = co_await writer.begin(200, std::move(headers));
        }
        std::string events;
        for (const requests::ResponseChunk &chunk : view.chunks) {
            events += sseEvent(seen + 1, chunkJson(record->id, record->spec.target, seen, chunk));
            ++seen;
        }
        open = open && (events.empty() || co_await writer.write(events));
        if (!open || view.state != TranscriptState::Open) {
            break;
        }
        if (!writer.callerGone()) {
            co_await record->transcript.wait(seen);
        }
        open = !writer.callerGone();
        view = record->transcript.view(seen);
    }
    if (--record->readers == 0 && !open) {
        m_controller.callerLeft(record);
    }
    if (!open) {
        co_return;
    }
    if (!writer.started() && view.state != TranscriptState::Complete) {
        Response response = refusalResponse(view.state == TranscriptState::Moved ? movedRefusal() : view.refusal, record->id);
        co_await writer.respond(std::move(response));
        co_return;
    }
    co_await endStream(record, seen, view, writer);
}

net::awaitable<void> CallerFrontend::endStream(RecordPtr record, std::size_t seen, const TranscriptView &view, http::IResponseWriter &writer)
{
    if (!writer.started()) {
        http::Headers headers = streamHeaders(record->id);
        co_await writer.begin(200, std::move(headers));
    }
    std::string events;
    if (view.state == TranscriptState::Complete) {
        events = sseEvent(seen + 1, finishChunkJson(record->id, record->spec.target, view.finishReason));
        if (record->spec.includeUsage) {
            events += sseEvent(seen + 2, usageChunkJson(record->id, record->spec.target, view.usage));
        }
        events += "data: [DONE]\n\n";
    } else if (view.state == TranscriptState::Moved) {
        events = namedSseEvent("moved", errorBody(movedRefusal()));
    } else {
        events = namedSseEvent("error", errorBody(view.refusal));
    }
    co_await writer.write(events);
    co_await writer.end();
}

}
