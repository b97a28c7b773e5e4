#pragma once

#include "platform.h"

namespace standins {

/// How fast and how long a model server's streams are.
struct StreamShape {
    int events = 60;
    std::int64_t pauseMs = 100;
};

/// Stand-in for a model server: registers itself in the store, and answers with streams of events whose ids count up from 1. The data of an event names the
/// software version that wrote it. Thread-safe.
class ModelServer
{
public:
    ModelServer(std::string id, std::string service, Platform &platform, Record &record, StreamShape shape = {});
    ~ModelServer();
    ModelServer(const ModelServer &) = delete;
    ModelServer &operator=(const ModelServer &) = delete;

    /// Registers the server with this version of its software, and begins to serve and to renew its entry.
    void start(const std::string &version);
    /// Ends as a process does that is killed: says nothing, and resets its connections.
    void crash();
    /// Sets the body of a request that crashes the server when it begins to run it; an empty text for none.
    void setCrashingBody(std::string body);
    /// Sets the part of a prompt that crashes the server when it begins to write an answer on it, unless it is the last part; an empty text for none.
    void setCrashingPart(std::string part);
    /// Whether such a request has come, so that crash() is due. Its connection is reset already.
    [[nodiscard]] bool crashDue() const;
    /// When requests with the part that crashes it have reached it.
    [[nodiscard]] std::vector<std::int64_t> crashingArrivals() const;
    /// Number of streams that it works on.
    [[nodiscard]] int running() const;
    [[nodiscard]] const std::string &id() const;

private:
    bool handle(Connection &connection, const Request &request);
    void stream(Connection &connection, const Request &request, const std::string &attempt, bool crashes);
    /// Whether the request has the part that crashes the server; its arrival is noted.
    bool crashesByPart(const Request &request);
    void renew();
    void writeEntry();

    const std::string m_id;
    const std::string m_service;
    Platform &m_platform;
    Record &m_record;
    const StreamShape m_shape;
    mutable std::mutex m_mutex;
    std::string m_version;
    std::string m_crashingBody;
    std::string m_crashingPart;
    std::vector<std::int64_t> m_crashingArrivals;
    std::atomic<bool> m_crashDue = false;
    std::int64_t m_bornMs = 0;
    std::atomic<int> m_sequence = 0;
    std::atomic<int> m_running = 0;
    Server m_server;
    std::thread m_renewal;
};

}
