#pragma once

#include "http.h"

#include <json/value.h>

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <set>

namespace rosemaryshift::review {

/// The record of a run, and its result. Thread-safe.
class Record
{
public:
    /// Writes to record.txt in @p folder.
    explicit Record(const std::string &folder);

    /// Writes a line with the seconds since the start.
    void write(const std::string &line);
    /// Seconds since the start.
    [[nodiscard]] double seconds() const;

private:
    const std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Whether the script is to bring about the disruption: not with TROUBLE=0.
bool hasTrouble();

void sleepMs(int milliseconds);

/// Waits for at most @p limitMs until @p condition holds; returns whether it does.
bool await(int limitMs, const std::function<bool()> &condition);

/// The platform's store as the pages describe it, as far as the gateways use it: appends, reads, newest records. Thread-safe.
class Store
{
public:
    explicit Store(Record &record);

    [[nodiscard]] std::string endpoint() const;
    /// Appends a record as the operator or a server would; without a @p value, the key is dropped.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// The newest value of a key; empty when there is none.
    [[nodiscard]] std::string newest(const std::string &topic, const std::string &key) const;
    /// While set, the connection of each call is closed without an answer.
    void setAway(bool away);
    /// Copies all topics.
    void copy();
    /// Goes on from the last copy, in a new era. What the operator and the servers have written since is written again.
    void restore();

private:
    struct Entry {
        std::string key;
        std::string value; ///< Empty for a dropped key.
    };
    using Topics = std::map<std::string, std::vector<Entry>>;

    Reply handle(const Received &request);
    Reply append(const Received &request);
    Reply read(const Received &request);
    Reply newestRecords(const Received &request);

    Record &m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Topics m_topics;
    Topics m_copy;
    int m_era = 1;
    bool m_away = false;
    std::unique_ptr<Listener> m_listener;
};

/// A call for a duty, as the platform received it.
struct DutyCall {
    double at = 0; ///< Seconds since the start.
    std::string holder;
    unsigned long long fence = 0;
    std::string path;
    Json::Value body;
};

/// The platform's interface for the singleton duties. Accepts all calls. Thread-safe.
class Cloud
{
public:
    explicit Cloud(Record &record);

    [[nodiscard]] std::string endpoint() const;
    [[nodiscard]] std::vector<DutyCall> calls() const;

private:
    Reply handle(const Received &request);

    Record &m_record;
    mutable std::mutex m_mutex;
    std::vector<DutyCall> m_calls;
    std::unique_ptr<Listener> m_listener;
};

/// A server of a service. Renews its entry in the store. Answers with 200 and a seal unless a handler is given. Thread-safe.
class Server
{
public:
    /// Answers a request that the server has begun to run. The header fields of a sound answer are there already.
    using Handler = std::function<void(const Received &, Reply &)>;

    Server(Record &record, Store &store, const std::string &id, const std::string &service, Handler handler = {}, const std::string &version = "v1");
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// The requests that it began to run.
    [[nodiscard]] std::vector<Received> runs() const;

private:
    Reply handle(const Received &request);
    void renew();

    Record &m_record;
    Store &m_store;
    const std::string m_id;
    const std::string m_service;
    const std::string m_version;
    const Handler m_handler;
    mutable std::mutex m_mutex;
    std::vector<Received> m_runs;
    std::atomic<bool> m_stopping = false;
    std::unique_ptr<Listener> m_listener;
    std::thread m_renewal;
};

/// Gateways as processes, started with the command of the deploy file, each with an address of its own. Thread-safe.
class Gateways
{
public:
    /// @p root: the folder of the repository.
    Gateways(Record &record, const std::string &root, const std::string &storeEndpoint, const std::string &cloudEndpoint, int count);
    /// Ends all processes.
    ~Gateways();
    Gateways(const Gateways &) = delete;
    Gateways &operator=(const Gateways &) = delete;

    /// Starts the process of a gateway.
    void start(int index);
    /// Sends a signal to the process of a gateway.
    void signal(int index, int number);
    /// Waits until the process has ended.
    void awaitEnd(int index);
    /// Resident memory of the process, in bytes; 0 when it has ended.
    [[nodiscard]] unsigned long long memory(int index) const;
    /// Waits until all gateways answer 200 on /readyz.
    [[nodiscard]] bool awaitReady(int limitMs) const;
    /// Where a gateway listens for clients.
    [[nodiscard]] std::string front(int index) const;
    [[nodiscard]] static std::string name(int index);

private:
    [[nodiscard]] std::string address(int index) const;
    [[nodiscard]] std::string settings(int index) const;
    /// The process of a gateway; 0 when it has ended.
    [[nodiscard]] pid_t process(int index) const;

    Record &m_record;
    const std::string m_root;
    const std::string m_storeEndpoint;
    const std::string m_cloudEndpoint;
    const int m_count;
    const std::uint16_t m_port;
    std::string m_folder;
    mutable std::mutex m_mutex;
    std::map<int, pid_t> m_processes;
};

/// The text of a configuration with one tenant, "yard", that holds the key "yard-key", with four routes of host yard.example: /plan/ (a stream that
/// may be resumed), /question/ (a stream), /booking/ (not idempotent) and /lookup/ (idempotent).
std::string configuration(int version);

/// Header lines of a client's request.
std::string clientLines(const std::string &attemptId, int deadlineMs = 3000);

}
