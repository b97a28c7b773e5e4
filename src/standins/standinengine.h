#pragma once

#include "standins/standinserver.h"

#include <json/value.h>

#include <map>
#include <memory>

namespace rosemaryshift::standins {

struct EngineSettings {
    std::string name;
    std::string logLevel;
    http::Endpoint address;
    std::chrono::microseconds firstToken{20'000};
    std::chrono::microseconds perToken{5'000};
    std::uint32_t slots = 8;
    std::uint32_t defaultTokens = 16;
};

EngineSettings readEngineSettings(SettingsDocument &document);

/// Stands in for a model engine that speaks OpenAI's chat API: streams a text that follows from the messages alone, and
/// continues one that is given as the last message. Thread-safe.
class StandinEngine
{
public:
    explicit StandinEngine(const EngineSettings &settings);

    boost::asio::awaitable<void> handle(http::Request request, http::IResponseWriter &writer);

private:
    struct Job;

    boost::asio::awaitable<void> chat(http::Request request, http::IResponseWriter &writer);
    boost::asio::awaitable<void> generate(const Job &job, http::IResponseWriter &writer);
    static Json::Value usage(const Job &job, std::uint64_t tokens);
    http::Response load() const;
    http::Response runs() const;
    void noteRun(const std::string &attempt, std::uint64_t tokens);
    void noteDeclined();
    void noteCancelled();

    const EngineSettings m_settings;
    Failures m_failures;
    std::atomic<std::uint32_t> m_running = 0;
    mutable std::mutex m_mutex;
    std::uint64_t m_started = 0;
    std::uint64_t m_declined = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_tokens = 0;
    std::map<std::string, std::uint64_t> m_runs;
};

/// Word number @p index of the text that follows from a prompt.
std::string standinWord(std::string_view prompt, std::uint64_t index);

}
