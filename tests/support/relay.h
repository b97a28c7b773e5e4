#pragma once

#include "http/httptypes.h"

#include <cstdint>
#include <memory>

namespace rosemaryshift::testing {

/// A TCP relay in front of one listener that simulates network failures. Commands apply to open and to new connections
/// and have taken effect when they return.
class Relay
{
public:
    explicit Relay(const http::Endpoint &target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Sets the address to which later connections are forwarded.
    void setTarget(const http::Endpoint &target);
    /// Address on which the relay listens, used in place of the target's.
    [[nodiscard]] http::Endpoint endpoint() const;
    /// Number of bytes forwarded so far in both directions together.
    [[nodiscard]] std::uint64_t forwardedBytes() const;
    /// Closes all connections, and every new one as soon as it is accepted.
    void cut();
    /// Ends cut(), hold() and holdAnswers(): forwards new connections and all data again. Connections that cut() closed stay closed.
    void heal();
    /// Keeps connections open but forwards no data in either direction; new connections are accepted and held as well.
    void hold();
    /// Forwards data to the target but holds back what the target answers.
    void holdAnswers();
    /// Forwards the data held back and everything that follows.
    void resume();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
