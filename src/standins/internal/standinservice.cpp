#include "standins/standinservice.h"

#include "base/json.h"
#include "settings/endpointsetting.h"

namespace rosemaryshift::standins {

namespace net = boost::asio;

ServiceSettings readServiceSettings(SettingsDocument &document)
{
    ServiceSettings settings;
    SettingsTable root = document.root();
    settings.name = root.text("name");
    settings.logLevel = root.logLevel();
    settings.address = endpointSetting(root, "address");
    settings.work = std::chrono::microseconds(root.number("work_us", {0, 600'000'000}, settings.work.count()));
    root.rejectUnknownKeys();
    return settings;
}

StandinService::StandinService(const ServiceSettings &settings)
    : m_settings(settings)
{
}

net::awaitable<void> StandinService::handle(http::Request request, http::IResponseWriter &writer)
{
    http::Response response;
    if (m_failures.handleCommand(request, response)) {
        co_await writer.respond(std::move(response));
    } else if (request.target == "/standin/runs") {
        response = runs();
        co_await writer.respond(std::move(response));
    } else {
        co_await serve(std::move(request), writer);
    }
}

net::awaitable<void> StandinService::serve(http::Request request, http::IResponseWriter &writer)
{
    const FailureMode mode = m_failures.beginRequest();
    if (mode == FailureMode::Down) {
        writer.abort();
        co_return;
    }
    if (mode == FailureMode::Leaving) {
        http::Response response = leavingAnswer(m_failures);
        co_await writer.respond(std::move(response));
        co_return;
    }
    writer.onCallerGone([] {});
    const std::uint64_t epoch = m_failures.epoch();
    std::string body = run(request);
    co_await pause(std::chrono::duration_cast<std::chrono::microseconds>(m_settings.work * m_failures.factor()));
    const bool silentOpen = m_failures.mode() == FailureMode::SilentOpen && m_failures.epoch() != epoch;
    if (mode == FailureMode::Silent || silentOpen) {
        co_await staySilent(writer);
        co_return;
    }
    if (mode == FailureMode::LostAnswer) {
        writer.abort();
        co_return;
    }
    const std::string id(request.headers.find("X-Request-Id").value_or(""));
    if (mode == FailureMode::Truncated) {
        http::Headers headers;
        headers.add("X-Request-Id", id);
        co_await writer.begin(200, std::move(headers));
        co_await writer.write(std::string_view(body).substr(0, body.size() / 2));
        writer.abort();
        co_return;
    }
    const bool crossed = mode == FailureMode::Crossed;
    http::Response response = jsonAnswer(200, crossed ? R"({"path":"/of/another/caller"})" : std::move(body));
    response.headers.add("X-Request-Id", crossed ? id + "-other" : id);
    co_await writer.respond(std::move(response));
}

std::string StandinService::run(const http::Request &request)
{
    const std::string key(request.headers.find("Idempotency-Key").value_or(""));
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    Json::Value value;
    value["service"] = m_settings.name;
    value["method"] = request.method;
    value["path"] = request.target;
    value["bytes"] = Json::UInt64(request.body.size());
    if (!key.empty()) {
        value["run"] = Json::UInt64(++m_runs[key]);
    }
    return toText(value);
}

http::Response StandinService::runs() const
{
    const std::lock_guard lock(m_mutex);
    Json::Value value;
    value["calls"] = Json::UInt64(m_calls);
    value["keys"] = Json::Value(Json::objectValue);
    for (const auto &[key, count] : m_runs) {
        value["keys"][key] = Json::UInt64(count);
    }
    return jsonAnswer(200, toText(value));
}

}
