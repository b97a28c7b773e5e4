#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"
#include "gateway/internal/streammoves.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Lower bound of the timeout of a call to a source.
constexpr std::chrono::milliseconds MinCallTimeout{500};
/// The timeout of a call as a multiple of the time that a free link within a zone takes.
constexpr int CallTimeoutFactor = 8;
constexpr std::chrono::milliseconds ReleaseTimeout{500};
/// Time until a call is repeated when the source is busy with another one.
constexpr std::chrono::milliseconds BusyPause{30};
/// Time after which a move that failed while its run goes on is planned again.
constexpr std::chrono::milliseconds RetryPause{300};
/// Interval at which a complete copy is checked for whether its stream still needs it.
constexpr std::chrono::milliseconds ResumptionPollInterval{20};
/// Time after the stop of a run in which the rest of its stream has to arrive.
constexpr std::chrono::milliseconds StreamEndTime{150};
/// Time for which a copy is kept when the configuration does not say how long the upstreams keep it.
constexpr std::chrono::milliseconds DefaultHandleLifetime{5'000};

}

net::awaitable<void> StreamMoves::drive(std::shared_ptr<MovableRun> run, Duration delay)
{
    if (delay > Duration::zero()) {
        co_await pause(atLeastOneMillisecond(delay));
    }
    while (run->move.step() != moves::MoveStep::Done) {
        switch (run->move.step()) {
        case moves::MoveStep::ChooseDestination:
            chooseDestination(*run);
            break;
        case moves::MoveStep::Copy:
        case moves::MoveStep::Stop:
            co_await callSource(run);
            break;
        case moves::MoveStep::Wait:
            co_await pause(BusyPause);
            if (run->move.step() == moves::MoveStep::Wait) {
                run->move.noteWaited();
            }
            break;
        case moves::MoveStep::Resume:
            co_await awaitResumption(run);
            break;
        case moves::MoveStep::Release:
            run->changed.cancel(); // The stream's request need not wait for it.
            co_await release(run);
            break;
        case moves::MoveStep::Done:
            break;
        }
        run->changed.cancel();
    }
    endReservation(*run);
    if (run->move.failure().empty()) {
        co_return;
    }
    logMove(*run, "failed", run->move.failure());
    if (run->move.mayHaveStopped() || run->streamEnded) {
        co_return;
    }
    // The run goes on at its upstream, and there may be room elsewhere later.
    co_await pause(RetryPause);
    run->move = moves::StreamMove();
    run->called = false;
    run->begun = run->streamEnded;
}

void StreamMoves::chooseDestination(MovableRun &run)
{
    const TimePoint now = hostNow();
    endReservation(run);
    const std::shared_ptr<IMovableStream> stream = run.stream.lock();
    std::optional<balancing::Choice> choice = stream ? stream->chooseDestination(run.move.refused(), now) : std::nullopt;
    const directory::Upstream *const upstream = choice ? m_context.directory.find(choice->instance) : nullptr;
    if (upstream == nullptr) {
        run.move.noteNoDestination();
        return;
    }
    balancing::RequestProfile profile;
    profile.service = run.service;
    run.reservation = m_context.balancer.begin(profile, *choice, now);
    run.destination = upstream->entry;
    run.copiedTokens = 0;
    run.move.setDestination(choice->instance);
    run.choice = std::move(choice);
}

net::awaitable<void> StreamMoves::callSource(std::shared_ptr<MovableRun> run)
{
    if (!destinationUsable(*run)) {
        run->move.noteDestinationLost();
        co_return;
    }
    ports::CopyCall call;
    call.run = run->attemptId;
    call.instance = run->source.instance;
    call.endpoint = run->source.endpoint;
    call.destination = run->destination->endpoint;
    call.stops = run->move.step() == moves::MoveStep::Stop;
    const Duration transfer = run->planner.transferTime(run->memoryTokens());
    const std::chrono::milliseconds timeout = std::max(MinCallTimeout, atLeastOneMillisecond(transfer) * CallTimeoutFactor);
    run->called = true;
    run->move.noteCalled();
    const ports::CopyAnswer answer = co_await m_context.ports.streamMover->copy(std::move(call), timeout);
    if (answer.outcome == ports::CopyOutcome::Copied) {
        countCopied(*run);
    } else {
        logMove(*run, "not_copied", answer.detail);
    }
    run->move.noteAnswer(answer);
}

net::awaitable<void> StreamMoves::awaitResumption(std::shared_ptr<MovableRun> run)
{
    const TimePoint copiedAt = hostNow();
    const Duration lifetime = run->engine.handleLifetime.count() > 0 ? run->engine.handleLifetime : DefaultHandleLifetime;
    bool cancelled = false;
    while (run->move.step() == moves::MoveStep::Resume) {
        run->changed.cancel();
        co_await pause(ResumptionPollInterval);
        if (run->taken || run->move.step() != moves::MoveStep::Resume) {
            continue;
        }
        const TimePoint now = hostNow();
        const std::shared_ptr<IMovableStream> stream = run->stream.lock();
        if (!stream || now - copiedAt > lifetime) {
            run->move.noteRunEnded();
        } else if (run->move.stopped() && !run->streamEnded && !cancelled && now - copiedAt > StreamEndTime) {
            cancelled = true;
            stream->stopReading();
        }
    }
}

net::awaitable<void> StreamMoves::release(std::shared_ptr<MovableRun> run)
{
    std::string handle = run->move.handle();
    bool released = co_await m_context.ports.streamMover->release(run->source.endpoint, handle, ReleaseTimeout);
    if (!released && run->destination) {
        released = co_await m_context.ports.streamMover->release(run->destination->endpoint, handle, ReleaseTimeout);
    }
    m_context.metrics.count("rosemaryshift_stream_move_releases_total", released ? R"(result="released")" : R"(result="unconfirmed")");
    run->move.noteReleased();
}

void StreamMoves::endReservation(MovableRun &run)
{
    if (run.reservation) {
        m_context.balancer.end(*run.reservation, balancing::AttemptEnd::Inconclusive, hostNow());
        run.reservation.reset();
    }
}

void StreamMoves::countCopied(MovableRun &run)
{
    const std::uint64_t tokens = run.memoryTokens();
    const std::uint64_t copied = tokens - std::min(tokens, run.copiedTokens);
    run.copiedTokens = tokens;
    m_context.metrics.count("rosemaryshift_stream_move_bytes_total", {}, copied * run.engine.bytesPerToken);
}

}
