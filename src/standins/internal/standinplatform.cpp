#include "standins/standinplatform.h"

#include "base/json.h"
#include "base/text.h"
#include "settings/endpointsetting.h"

namespace rosemaryshift::standins {

namespace net = boost::asio;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds LongPollInterval{5};
constexpr std::size_t MaxPageRecords = 1'000;

std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t defaultValue)
{
    const std::optional<std::string> text = http::queryValue(target, key);
    return text ? parseUnsigned(*text).value_or(defaultValue) : defaultValue;
}

steady_clock::time_point longPollEnd(std::string_view target)
{
    return steady_clock::now() + std::chrono::milliseconds(queryNumber(target, "wait_ms", 0));
}

}

PlatformSettings readPlatformSettings(SettingsDocument &document)
{
    PlatformSettings settings;
    SettingsTable root = document.root();
    settings.logLevel = root.logLevel();
    settings.address = endpointSetting(root, "address");
    settings.retainedRecords = root.number("retained_records", {1, 10'000'000}, settings.retainedRecords);
    root.rejectUnknownKeys();
    return settings;
}

StandinPlatform::StandinPlatform(const PlatformSettings &settings)
    : m_settings(settings)
    , m_hosts(Json::arrayValue)
    , m_publishedHosts(Json::arrayValue)
{
}

net::awaitable<void> StandinPlatform::handle(http::Request request, http::IResponseWriter &writer)
{
    http::Response response;
    if (m_failures.handleCommand(request, response) || handleCommand(request, response)) {
        co_await writer.respond(std::move(response));
        co_return;
    }
    co_await serve(std::move(request), writer);
}

net::awaitable<void> StandinPlatform::serve(http::Request request, http::IResponseWriter &writer)
{
    const FailureMode mode = m_failures.beginRequest();
    const std::uint64_t epoch = m_failures.epoch();
    writer.onCallerGone([] {});
    if (mode == FailureMode::Down) {
        writer.abort();
        co_return;
    }
    if (mode == FailureMode::Silent) {
        co_await staySilent(writer);
        co_return;
    }
    if (mode == FailureMode::Slow) {
        co_await pause(std::chrono::milliseconds(static_cast<std::int64_t>(m_failures.factor())));
    }
    const std::string path(http::path(request.target));
    if (path == "/v1/log" && logDown()) {
        writer.abort();
        co_return;
    }
    http::Response response = jsonAnswer(404, R"({"error":"unknown path"})");
    if (path == "/v1/log" && request.method == "POST") {
        response = append(request);
        if (takeLostAppend()) {
            writer.abort();
            co_return;
        }
    } else if (path == "/v1/log") {
        response = co_await readLog(request.target);
    } else if (path == "/v1/hosts") {
        response = co_await readHosts(request.target);
    } else if (path == "/v1/notices") {
        response = co_await readNotices(request.target);
    }
    if (m_failures.mode() == FailureMode::SilentOpen && m_failures.epoch() != epoch) {
        co_await staySilent(writer);
        co_return;
    }
    if (mode == FailureMode::LostAnswer || m_failures.mode() == FailureMode::Down) {
        writer.abort();
        co_return;
    }
    co_await writer.respond(std::move(response));
}

bool StandinPlatform::handleCommand(const http::Request &request, http::Response &response)
{
    if (request.method != "PUT") {
        return false;
    }
    std::string reason;
    const Json::Value body = parseJson(request.body, reason).value_or(Json::Value(Json::objectValue));
    const std::lock_guard lock(m_mutex);
    if (request.target == "/standin/hosts") {
        m_hosts = body["hosts"];
    } else if (request.target == "/standin/list_frozen") {
        m_listFrozen = boolMember(body, "frozen", false);
    } else if (request.target == "/standin/notice") {
        m_notices[stringMember(body, "host").value_or("")] = unsignedMember(body, "reclaim_in_ms").value_or(0);
    } else if (request.target == "/standin/truncate") {
        dropBefore(unsignedMember(body, "oldest").value_or(0));
    } else if (request.target == "/standin/log_down") {
        m_logDown = boolMember(body, "down", true);
    } else if (request.target == "/standin/lose_appends") {
        m_appendsToLose = unsignedMember(body, "count").value_or(1);
    } else {
        return false;
    }
    if (!m_listFrozen && m_publishedHosts != m_hosts) {
        m_publishedHosts = m_hosts;
        ++m_hostsVersion;
    }
    response = jsonAnswer(200, "{}");
    return true;
}

void StandinPlatform::dropBefore(std::uint64_t oldest)
{
    while (m_oldest < oldest && !m_records.empty()) {
        m_records.pop_front();
        ++m_oldest;
    }
}

http::Response StandinPlatform::append(const http::Request &request)
{
    std::string reason;
    const std::optional<Json::Value> body = parseJson(request.body, reason);
    if (!body || !body->isObject() || !(*body)["records"].isArray()) {
        return jsonAnswer(400, R"({"error":"malformed request"})");
    }
    const std::lock_guard lock(m_mutex);
    const std::uint64_t first = m_oldest + m_records.size();
    for (const Json::Value &record : (*body)["records"]) {
        m_records.push_back(record.asString());
    }
    while (m_records.size() > m_settings.retainedRecords) {
        dropBefore(m_oldest + 1);
    }
    Json::Value value;
    value["first"] = Json::UInt64(first);
    return jsonAnswer(200, toText(value));
}

bool StandinPlatform::logDown() const
{
    const std::lock_guard lock(m_mutex);
    return m_logDown;
}

bool StandinPlatform::takeLostAppend()
{
    const std::lock_guard lock(m_mutex);
    if (m_appendsToLose == 0) {
        return false;
    }
    --m_appendsToLose;
    return true;
}

net::awaitable<http::Response> StandinPlatform::readLog(std::string target)
{
    const std::uint64_t from = queryNumber(target, "from", 0);
    const steady_clock::time_point until = longPollEnd(target);
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            const std::uint64_t end = m_oldest + m_records.size();
            if (from < end || steady_clock::now() >= until) {
                Json::Value value;
                value["oldest"] = Json::UInt64(m_oldest);
                value["records"] = Json::Value(Json::arrayValue);
                std::uint64_t next = std::max(from, m_oldest);
                for (; next < end && value["records"].size() < MaxPageRecords; ++next) {
                    Json::Value row;
                    row["offset"] = Json::UInt64(next);
                    row["data"] = m_records[next - m_oldest];
                    value["records"].append(row);
                }
                value["next"] = Json::UInt64(next);
                co_return jsonAnswer(200, toText(value));
            }
        }
        co_await pause(LongPollInterval);
    }
}

net::awaitable<http::Response> StandinPlatform::readHosts(std::string target)
{
    const std::uint64_t known = queryNumber(target, "known", 0);
    const steady_clock::time_point until = longPollEnd(target);
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_hostsVersion != known || steady_clock::now() >= until) {
                Json::Value value;
                value["version"] = Json::UInt64(m_hostsVersion);
                value["hosts"] = m_publishedHosts;
                co_return jsonAnswer(200, toText(value));
            }
        }
        co_await pause(LongPollInterval);
    }
}

net::awaitable<http::Response> StandinPlatform::readNotices(std::string target)
{
    const std::string host = http::queryValue(target, "host").value_or("");
    const steady_clock::time_point until = longPollEnd(target);
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            const std::map<std::string, std::uint64_t>::const_iterator found = m_notices.find(host);
            if (found != m_notices.end() || steady_clock::now() >= until) {
                Json::Value value(Json::objectValue);
                if (found != m_notices.end()) {
                    value["reclaim_in_ms"] = Json::UInt64(found->second);
                }
                co_return jsonAnswer(200, toText(value));
            }
        }
        co_await pause(LongPollInterval);
    }
}

}
