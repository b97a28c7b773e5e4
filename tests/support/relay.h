#pragma once

#include "http/httptypes.h"

#include <cstdint>
#include <memory>

namespace rosemaryshift::testing {

/// A TCP relay in front of one listener that can fail on command. Commands hold for open and for new connections, and
/// are in force when they return.
class Relay
{
public:
    explicit Relay(const http::Endpoint &target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Sets where new connections lead from now on.
    void setTarget(const http::Endpoint &target);
    /// Address to connect to in place of the target's.
    [[nodiscard]] http::Endpoint endpoint() const;
    /// Bytes passed on so far, both ways together.
    [[nodiscard]] std::uint64_t forwardedBytes() const;
    /// Closes all connections, and each new one at once.
    void cut();
    /// Lets new connections through again.
    void heal();
    /// Keeps connections open and passes nothing on; new ones are accepted and held too.
    void hold();
    /// Passes on to the target, but holds what it answers.
    void holdAnswers();
    /// Passes on what was held, and all that follows.
    void resume();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
