#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rosemaryshift::review {

/// Header fields by name in lower case. Of several fields with one name, the last one counts.
using Fields = std::map<std::string, std::string>;

/// A request as a stand-in received it.
struct Received {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;

    /// The path of the target, without the query.
    [[nodiscard]] std::string path() const;
    /// The value of a query parameter; nothing when it is absent. Values are not decoded.
    [[nodiscard]] std::optional<std::string> query(const std::string &key) const;
    /// The value of the header field @p name, given in lower case; empty when it is absent.
    [[nodiscard]] std::string field(const std::string &name) const;
};

/// What a stand-in answers.
struct Reply {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool closes = false; ///< The connection is closed without an answer.
    /// Sends all bytes of the answer itself when it is given, and the connection is closed behind them. Its parameter sends bytes, and returns false when the
    /// caller has closed the connection.
    std::function<void(const std::function<bool(const std::string &)> &)> sender;
};

/// Small HTTP/1.1 server on a loopback address with one thread for each connection. Thread-safe.
class Listener
{
public:
    using Handler = std::function<Reply(const Received &)>;

    /// Listens on @p address, on a port that the system assigns.
    Listener(const std::string &address, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// The address with its port.
    [[nodiscard]] std::string endpoint() const;

private:
    void accept();
    void serve(int connection);

    const std::string m_address;
    const Handler m_handler;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<int> m_connections; ///< One thread serves each.
    std::thread m_acceptor;
};

/// An answer as a client received it; status 0 without one.
struct Answer {
    int status = 0;
    Fields fields;
    std::string body;
    bool complete = false; ///< The body was received to its end.
};

/// Sends a request with the given header lines, each with its line break, to @p endpoint on a new connection, and reads the answer for at most
/// @p timeoutMs. A Content-Length is added.
Answer
call(const std::string &endpoint, const std::string &method, const std::string &target, const std::string &lines, const std::string &body, int timeoutMs);

/// A client that keeps its connection for further requests. Not thread-safe.
class KeptConnection
{
public:
    explicit KeptConnection(std::string endpoint);
    ~KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    /// As the function of the same name, on the connection that is open, or on a new one.
    Answer call(const std::string &method, const std::string &target, const std::string &lines, const std::string &body, int timeoutMs);
    /// Number of requests that were sent on the connection of the last call, that one included; 0 when no connection could be opened.
    [[nodiscard]] int requests() const;

private:
    const std::string m_endpoint;
    int m_connection = -1;
    int m_requests = 0;
};

/// A port from which on @p count ports are free on all loopback addresses.
std::uint16_t freePorts(int count);

}
