#pragma once

#include "net.h"

#include <condition_variable>
#include <fstream>
#include <map>
#include <set>

namespace standins {

/// The file that says what was sent, answered and run. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    /// Writes a line with the time in front.
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Stand-in for the platform's store (the log) and its calls for the singleton duties. Thread-safe.
class Platform
{
public:
    /// A call for a duty as it was received.
    struct DutyCall {
        std::int64_t atMs = 0;
        std::string path;
        std::string holder;
        std::uint64_t fence = 0;
        std::string body;
    };

    explicit Platform(Record &record);
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    [[nodiscard]] std::string endpoint() const;
    /// Writes a record as the operator or a server would. Nothing as @p value removes the key.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// While set, all calls are answered with 503, which means that nothing was done.
    void setDown(bool down);
    [[nodiscard]] std::vector<DutyCall> dutyCalls() const;

private:
    struct StoredRecord {
        std::string key;
        std::optional<std::string> value;
    };

    bool handle(Connection &connection, const Request &request);
    std::string read(const std::string &target);
    std::string newest(const std::string &target) const;
    std::string append(const Request &request);

    Record &m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<StoredRecord>> m_topics;
    std::vector<DutyCall> m_dutyCalls;
    std::atomic<bool> m_down = false;
    Server m_server;
};

/// A gateway as a process of its own, started with the command of the deploy file.
class Gateway
{
public:
    /// What differs between the gateways of a fleet.
    struct Settings {
        std::string name;
        std::string zone;
        std::string address;
        std::vector<std::string> seeds; ///< Addresses without ports.
        bool firstStart = true;
    };
    /// Ports that are free on all loopback addresses; the same on all machines of a day.
    struct Ports {
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        std::uint16_t peers = 0;
        std::uint16_t gossip = 0;
        std::uint16_t relay = 0;
        std::uint16_t metrics = 0;
    };

    /// @p folder: for the settings and the output. @p promises: further lines of that table.
    Gateway(Settings settings, Ports ports, std::string platform, std::string folder, std::string promises = {});
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    static Ports freePorts();
    void start();
    void signal(int number) const;
    /// Waits until the process has ended. Returns whether it ended within @p timeoutMs.
    bool awaitEnd(std::int64_t timeoutMs);
    /// Ends it with SIGKILL.
    void kill();
    /// Waits until it says that it is ready.
    bool awaitReady(std::int64_t timeoutMs) const;
    [[nodiscard]] const std::string &address() const;
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const std::string &name() const;

private:
    Settings m_settings;
    const Ports m_ports;
    const std::string m_platform;
    const std::string m_folder;
    const std::string m_promises;
    pid_t m_pid = -1;
};

/// A folder for temporary files, removed at the end.
class Folder
{
public:
    Folder();
    ~Folder();
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    [[nodiscard]] const std::string &path() const;

private:
    std::string m_path;
};

/// Whether the run is to contain the disruption: not with TROUBLE=0.
bool withTrouble();
/// Ends the process with 2, and its gateways with it, when a case takes longer than it may.
void limitTime(int seconds);

}
