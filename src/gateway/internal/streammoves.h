#pragma once

#include "balancing/balancingtypes.h"
#include "directory/directorytypes.h"
#include "gateway/internal/gatewaycontext.h"
#include "moves/moveplanner.h"
#include "moves/streammove.h"
#include "routing/routingtypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rosemaryshift::gateway {

/// A stream whose run may be moved, as StreamMoves sees it. Used from the gateway's thread.
class IMovableStream
{
public:
    virtual ~IMovableStream() = default;

    /// How far the stream has come.
    [[nodiscard]] virtual moves::StreamProgress progress(TimePoint now) const = 0;
    /// Chooses an upstream with room at which the run may go on, but none of @p excluded; nothing when there is none.
    [[nodiscard]] virtual std::optional<balancing::Choice> chooseDestination(const std::set<std::string> &excluded, TimePoint now) = 0;
    /// The run has stopped, and no more of the stream is expected from its upstream.
    virtual void stopReading() = 0;
};

/// Where a run goes on.
struct Continuation {
    balancing::Choice choice;
    directory::UpstreamEntry destination;
    std::string softwareVersion; ///< Of the upstream that began the run.
    ports::RunMemory memory;
};

/// A run whose stream this host passes on, and its move if there is one. Owned by the stream's request.
struct MovableRun {
    MovableRun(const boost::asio::any_io_executor &executor, const routing::EngineSpec &spec);

    /// Tokens whose memory the run has, as far as its stream tells.
    [[nodiscard]] std::uint64_t memoryTokens() const;

    std::string attemptId;
    std::string service;
    directory::UpstreamEntry source;
    const routing::EngineSpec engine;
    const moves::MovePlanner planner;
    std::weak_ptr<IMovableStream> stream;
    moves::StreamMove move;
    std::optional<balancing::Choice> choice;             ///< The current destination.
    std::optional<directory::UpstreamEntry> destination; ///< Its entry when it was chosen.
    std::optional<std::uint64_t> reservation;            ///< Number at the balancer of the request that is expected at the destination.
    std::uint64_t copiedTokens = 0;                      ///< Tokens whose memory the current destination has.
    bool begun = false;                                  ///< The move was planned.
    bool called = false;                                 ///< The source was asked to copy the memory.
    bool streamEnded = false;                            ///< Nothing more is read from the source.
    bool taken = false;                                  ///< The request is being sent to the destination.
    boost::asio::steady_timer changed;                   ///< Cancelled when the move goes on; waited for by the stream's request.
};

/// Moves the streams of this host that would be lost with an upstream that leaves. Used from the gateway's thread.
class StreamMoves
{
public:
    StreamMoves(GatewayContext &context, boost::asio::any_io_executor executor);
    StreamMoves(const StreamMoves &) = delete;
    StreamMoves &operator=(const StreamMoves &) = delete;

    /// Whether the streams of a @p route may be moved when it is served by @p service: its engines can copy memory, and it carries streams that may not be
    /// repeated and yield to others.
    [[nodiscard]] bool covers(const routing::RouteTable &table, const routing::Route &route, std::string_view service) const;
    /// Lists a run whose first event has come. Precondition: covers(), and the upstream's service has an engine.
    std::shared_ptr<MovableRun>
    follow(std::string attemptId, const directory::UpstreamEntry &source, const routing::EngineSpec &engine, std::weak_ptr<IMovableStream> stream);
    /// The time until @p upstream leaves has become known.
    void noteNotice(const directory::Upstream &upstream);
    /// Waits for the move of a run whose stream has ended without its end. Returns where it goes on; nothing when it does not, and ends the run then.
    boost::asio::awaitable<std::optional<Continuation>> continuationOf(std::shared_ptr<MovableRun> run);
    /// The run goes on at its destination.
    void noteResumed(MovableRun &run);
    /// The destination does not run the request. Returns where else the run goes on, as continuationOf().
    boost::asio::awaitable<std::optional<Continuation>> continuationAfterRefusal(std::shared_ptr<MovableRun> run);
    /// The run has ended, or its caller has left. Room that is held for it is released.
    void end(MovableRun &run);

private:
    /// Plans the moves of the streams at an upstream until it leaves.
    boost::asio::awaitable<void> watch(directory::UpstreamEntry upstream, TimePoint leavesAt);
    void planMoves(const directory::UpstreamEntry &upstream, TimePoint leavesAt, TimePoint now);
    /// Takes the steps of a move until it is done.
    boost::asio::awaitable<void> drive(std::shared_ptr<MovableRun> run, Duration delay);
    void chooseDestination(MovableRun &run);
    boost::asio::awaitable<void> callSource(std::shared_ptr<MovableRun> run);
    /// Waits until the stream's request has gone on at the destination, or has been refused there.
    boost::asio::awaitable<void> awaitResumption(std::shared_ptr<MovableRun> run);
    boost::asio::awaitable<void> release(std::shared_ptr<MovableRun> run);
    [[nodiscard]] bool destinationUsable(const MovableRun &run) const;
    void endReservation(MovableRun &run);
    void forget(const MovableRun &run);
    void countCopied(MovableRun &run);
    void logMove(const MovableRun &run, std::string_view change, std::string_view reason);

    GatewayContext &m_context;
    const boost::asio::any_io_executor m_executor;
    std::multimap<std::string, std::weak_ptr<MovableRun>, std::less<>> m_runs; ///< By the instance that runs them.
};

}
