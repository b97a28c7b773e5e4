#include "gateway/internal/measuredlog.h"

#include "gateway/internal/hostclock.h"

#include <spdlog/fmt/fmt.h>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

std::string_view name(ports::Topic topic)
{
    switch (topic) {
    case ports::Topic::Configuration:
        return "configuration";
    case ports::Topic::Upstreams:
        return "upstreams";
    case ports::Topic::Duties:
        return "duties";
    case ports::Topic::SoftwareVersions:
        return "software_versions";
    case ports::Topic::StreamOrigins:
        return "stream_origins";
    case ports::Topic::Suspects:
        return "suspects";
    case ports::Topic::RolloutStates:
        return "rollout_states";
    }
    return "unknown";
}

std::string_view name(ports::LogError error)
{
    switch (error) {
    case ports::LogError::Unreachable:
        return "unreachable";
    case ports::LogError::Refused:
        return "refused";
    case ports::LogError::Malformed:
        return "malformed";
    case ports::LogError::Superseded:
        return "superseded";
    }
    return "unknown";
}

/// Passes all calls on to another log, measures them, and notes the era that their answers state.
class MeasuredLog : public ports::IPlatformLog
{
public:
    MeasuredLog(std::unique_ptr<ports::IPlatformLog> log, GatewayMetrics &metrics, LogEraTracker &era)
        : m_log(std::move(log))
        , m_metrics(metrics)
        , m_era(era)
    {
    }

    net::awaitable<std::optional<ports::NewestRecords>> readNewest(ports::Topic topic, std::chrono::milliseconds timeout, ports::LogFailure &failure) override
    {
        const TimePoint startedAt = hostNow();
        std::optional<ports::NewestRecords> newest = co_await m_log->readNewest(topic, timeout, failure);
        if (newest && isSuperseded(newest->end.era, failure)) {
            newest.reset();
        }
        record(topic, "read_newest", startedAt, newest ? "ok" : name(failure.error));
        co_return newest;
    }

    net::awaitable<std::optional<ports::RecordBatch>> readFrom(
        ports::Topic topic, ports::LogPosition position, std::chrono::milliseconds wait, std::chrono::milliseconds timeout, ports::LogFailure &failure) override
    {
        const TimePoint startedAt = hostNow();
        std::optional<ports::RecordBatch> batch = co_await m_log->readFrom(topic, position, wait, timeout, failure);
        if (batch && isSuperseded(batch->next.era, failure)) {
            batch.reset();
        }
        record(topic, "read", startedAt, batch ? "ok" : name(failure.error));
        co_return batch;
    }

    net::awaitable<std::optional<ports::AppendResult>> append(ports::Topic topic,
                                                              ports::Record entry,
                                                              std::optional<std::uint64_t> expectedEnd,
                                                              std::chrono::milliseconds timeout,
                                                              ports::LogFailure &failure) override
    {
        const TimePoint startedAt = hostNow();
        std::optional<ports::AppendResult> result = co_await m_log->append(topic, std::move(entry), expectedEnd, timeout, failure);
        if (result && isSuperseded(result->era, failure)) {
            result.reset();
        }
        record(topic, "append", startedAt, result ? "ok" : name(failure.error));
        co_return result;
    }

private:
    /// Notes the era of an answer. Returns whether a later one is known, and sets @p failure then.
    bool isSuperseded(ports::LogEra era, ports::LogFailure &failure)
    {
        if (m_era.note(era)) {
            return false;
        }
        failure = {ports::LogError::Superseded, "the log has been restored since"};
        return true;
    }

    void record(ports::Topic topic, std::string_view call, TimePoint startedAt, std::string_view outcome)
    {
        const std::string labels = fmt::format(R"(topic="{}",call="{}",outcome="{}")", name(topic), call, outcome);
        m_metrics.observe("rosemaryshift_log_call_seconds", labels, hostNow() - startedAt);
    }

    const std::unique_ptr<ports::IPlatformLog> m_log;
    GatewayMetrics &m_metrics;
    LogEraTracker &m_era;
};

}

PlatformPorts withMeasuredLogs(PlatformPorts ports, GatewayMetrics &metrics, LogEraTracker &era)
{
    ports.configurationLog = std::make_unique<MeasuredLog>(std::move(ports.configurationLog), metrics, era);
    ports.platformLog = std::make_unique<MeasuredLog>(std::move(ports.platformLog), metrics, era);
    return ports;
}

}
