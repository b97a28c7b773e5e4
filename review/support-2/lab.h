#pragma once

// Stand-ins of the second review, with nothing but the standard library and POSIX sockets: a platform (store and duties), servers that run a script, clients,
// and gateways as separate processes. All addresses are on loopback.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the case.
long elapsed();
/// Waits for @p time.
void rest(milliseconds time);
/// Adds a line to the record of the case, with the time.
void record(const std::string &line);
/// Names the file that record() writes to.
void openRecord(const std::string &path);

/// A request or an answer.
struct Message {
    std::string start; ///< The first line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< The body has come to its end.
    bool reset = false;    ///< The connection was reset before.

    /// The value of a header, regardless of case; empty when it is missing.
    [[nodiscard]] std::string header(const std::string &name) const;
    [[nodiscard]] bool has(const std::string &name) const;
    /// The status of an answer; 0 when there is none.
    [[nodiscard]] int status() const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
};

/// One TCP connection. Closes its socket when it is destroyed. Not thread-safe, but for closing.
class Connection
{
public:
    explicit Connection(int descriptor);
    /// Connects to @p address; ok() is false when that fails.
    Connection(const std::string &address, int port, milliseconds timeout = milliseconds(2000));
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] bool ok() const;
    /// Sends all bytes; false when that fails.
    bool send(const std::string &bytes);
    /// Reads a request; nothing when the connection ends first.
    std::optional<Message> readRequest();
    /// Reads an answer to its end, or as far as it comes until @p until.
    Message readAnswer(Clock::time_point until, const std::function<void(const std::string &)> &onPiece = nullptr);
    /// Closes the connection with a reset.
    void reset();
    /// Ends the sending direction and waits until the peer has closed.
    void finish();
    /// Ends the connection from another thread.
    void interrupt() const;
    [[nodiscard]] int descriptor() const;

private:
    bool fill(Clock::time_point until);

    int m_descriptor = -1;
    std::string m_buffer;
    bool m_reset = false;
};

/// Accepts connections on a port, and runs a handler in a thread for each.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    /// Listens on @p address; @p port 0 lets the system choose.
    Listener(const std::string &address, int port, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] int port() const;
    /// Stops accepting, resets all connections and waits for their handlers. The handlers see closed connections.
    void crash();
    /// Listens again, on the same port, after crash().
    void restart();
    /// Leaves the connections open, and has new ones hang from now on, as behind a partition.
    void hang();
    /// Resets all connections. Their handlers see closed ones.
    void resetAll();

private:
    struct State;
    void open();

    const std::string m_address;
    std::vector<int> m_fillers;
    int m_port = 0;
    const Handler m_handler;
    std::shared_ptr<State> m_state;
};

/// The store of the platform, and the calls for the duties of one node.
class Platform
{
public:
    /// Opens this number of @p listeners, so that it can turn away the hosts that use one of them.
    explicit Platform(int listeners = 1);

    [[nodiscard]] std::string address(int listener = 0) const;
    /// While set, answers the calls at a listener with 503.
    void setRejecting(int listener, bool rejecting);
    /// Appends a record as the operator or a server does; without a value it removes the key.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// The number of reads of a topic so far.
    [[nodiscard]] int reads(const std::string &topic) const;
    /// Calls for duties so far: path, holder, token and body.
    [[nodiscard]] std::vector<std::string> dutyCalls() const;

private:
    struct Record {
        std::string key;
        std::optional<std::string> value;
    };

    void serve(Connection &connection, int listener);
    std::string read(const std::string &topic, std::uint64_t from, milliseconds wait);
    std::string newest(const std::string &topic) const;

    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<Record>> m_topics;
    std::map<std::string, int> m_reads;
    std::vector<std::string> m_dutyCalls;
    std::vector<bool> m_rejecting;
    std::vector<std::unique_ptr<Listener>> m_listeners;
};

/// One gateway as a separate process, started with the command of the deploy file. Killed when it is destroyed.
class Gateway
{
public:
    /// @p host: address on loopback. @p seeds: addresses of others. @p ports: first of six ports, the same for all gateways of a case.
    Gateway(const std::string &name, const std::string &host, const std::vector<std::string> &seeds, const Platform &platform, int ports, int listener = 0);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    [[nodiscard]] const std::string &host() const;
    [[nodiscard]] int port() const;
    /// Waits until it says that it is ready; false when it doesn't within some seconds.
    bool awaitReady();
    void signal(int number) const;
    /// Whether the process has ended, and how.
    std::optional<int> ended();
    [[nodiscard]] pid_t pid() const;

private:
    const std::string m_host;
    const int m_ports;
    pid_t m_pid = -1;
    std::optional<int> m_ended;
};

/// What a model server does with its streams.
struct StreamShape {
    int events = 40;        ///< Events of a whole stream.
    milliseconds pause{50}; ///< Time between two events.
    bool unframed = false;  ///< Neither a length nor chunks: the stream ends with its connection.
    int silentAfter = 0;    ///< Sends nothing more after this number of events; 0: sends all.
    milliseconds beforeFirst{10};
};

/// A model server: runs streams, goes on after Last-Event-Id, refuses what expects another instance, and lists itself in the store.
class ModelServer
{
public:
    ModelServer(Platform &platform, std::string instance, std::string service, std::string version, StreamShape shape);

    /// Starts to listen, and lists the server.
    void start(const std::string &version);
    /// Breaks all connections and refuses new ones.
    void crash();
    /// Sends nothing more, and lets new connections hang.
    void cutOff();
    /// Resets the connections that were open at cutOff(). New ones hang on.
    void resetConnections();
    /// Streams that it has in progress.
    [[nodiscard]] int running() const;
    /// Requests that it began to run so far.
    [[nodiscard]] int began() const;
    [[nodiscard]] int port() const;
    void setShape(StreamShape shape);

private:
    void serve(Connection &connection);

    Platform &m_platform;
    const std::string m_instance;
    const std::string m_service;
    mutable std::mutex m_mutex;
    std::string m_version;
    StreamShape m_shape;
    std::atomic<int> m_life = 0;
    std::atomic<bool> m_silent = false;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_began = 0;
    std::unique_ptr<Listener> m_listener;
};

/// Text of an event of a stream. It names the instance and version that made it.
std::string event(int number, const std::string &maker);
/// A route of a configuration.
std::string route(const std::string &name, const std::string &kind, const std::string &service, int attempts, bool resumable, int timeoutMs);
/// A configuration with these routes and services.
std::string configuration(int version, const std::vector<std::string> &routes, const std::vector<std::string> &services);
/// The headers that describe a prompt with a shared part, one of a few dozen, and a part of its own.
std::string promptHeaders(int number);
/// The head of a caller's request, up to and with the empty line.
std::string requestHead(const std::string &method, const std::string &target, const std::string &attempt, int deadlineMs, const std::string &more = {});

/// Ends all gateways, and the process with this exit code.
[[noreturn]] void finish(int code);

/// The first of six free ports in a row, on all loopback addresses.
int freePorts();
/// The folder of the case, for settings and logs, in which everything is removed at the end of the process.
const std::string &folder();
/// An entry of a server, as it writes it to the store.
std::string entry(const std::string &service, int port, const std::string &version, long born, const std::string &state = "ready");
/// Milliseconds since 1970.
long wallClock();

}
