#pragma once

#include "standins/standinserver.h"

#include <json/value.h>

#include <map>
#include <memory>

namespace rosemaryshift::standins {

/// Settings of StandinEngine.
struct EngineSettings {
    std::string name;
    std::string logLevel;
    http::Endpoint address;
    std::chrono::microseconds firstToken{20'000}; ///< Time to the first token.
    std::chrono::microseconds perToken{5'000};    ///< Time between tokens.
    std::uint32_t slots = 8;                      ///< Requests shown as running in the load report; further ones are shown as queued.
    std::uint32_t defaultTokens = 16;             ///< Length of an answer when the request sets no bound.
};

EngineSettings readEngineSettings(SettingsDocument &document);

/// Stand-in for a model engine with OpenAI's chat API: streams a text that depends only on the messages, and continues a
/// partial text that is given as the last message. Thread-safe.
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
    /// Adds @p tokens to the tokens generated for an attempt; with 0, counts the start of the run.
    void recordRun(const std::string &attempt, std::uint64_t tokens);
    void recordDeclined();
    void recordCancelled();

    const EngineSettings m_settings;
    FailureInjection m_failures;
    std::atomic<std::uint32_t> m_running = 0; ///< Requests in progress, those shown as queued included.
    mutable std::mutex m_mutex;
    std::uint64_t m_started = 0;
    std::uint64_t m_declined = 0; ///< Requests answered as leaving or rejecting.
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_tokens = 0;
    std::map<std::string, std::uint64_t> m_runs; ///< Generated tokens by attempt id.
};

/// Word number @p index of the text that StandinEngine generates for a prompt.
std::string standinWord(std::string_view prompt, std::uint64_t index);

}
