#include "gateway/internal/streammoves.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Interval at which the streams at an upstream that leaves are looked at again.
constexpr std::chrono::milliseconds PlanInterval{100};
/// Least time that is assumed to be left while the upstream has not left.
constexpr std::chrono::milliseconds LeastTimeLeft{100};
/// Time that a reclaimable upstream is assumed to have left when it leaves and does not state the time.
constexpr std::chrono::milliseconds UnstatedNotice{2'000};
/// A time that an upstream states beyond this one is cut to it.
constexpr std::chrono::minutes LongestNotice{10};

}

MovableRun::MovableRun(const net::any_io_executor &executor, const routing::EngineSpec &spec)
    : engine(spec)
    , planner({spec.bytesPerToken, spec.linkBitsPerSecond})
    , changed(executor, net::steady_timer::time_point::max())
{
}

std::uint64_t MovableRun::memoryTokens() const
{
    const std::shared_ptr<IMovableStream> owner = stream.lock();
    if (!owner) {
        return copiedTokens;
    }
    const moves::StreamProgress progress = owner->progress(hostNow());
    return progress.promptTokens + progress.passedTokens;
}

StreamMoves::StreamMoves(GatewayContext &context, net::any_io_executor executor)
    : m_context(context)
    , m_executor(std::move(executor))
{
}

bool StreamMoves::covers(const routing::RouteTable &table, const routing::Route &route, std::string_view service) const
{
    if (!m_context.ports.streamMover || route.kind != routing::RequestKind::Streaming || route.repeatable() || !table.hasYieldingSingleAttempts(service)) {
        return false;
    }
    const routing::Service *const found = table.service(service);
    return found != nullptr && found->engine && found->engine->movesMemory;
}

std::shared_ptr<MovableRun>
StreamMoves::follow(std::string attemptId, const directory::UpstreamEntry &source, const routing::EngineSpec &engine, std::weak_ptr<IMovableStream> stream)
{
    const std::shared_ptr<MovableRun> run = std::make_shared<MovableRun>(m_executor, engine);
    run->attemptId = std::move(attemptId);
    run->service = source.service;
    run->source = source;
    run->stream = std::move(stream);
    m_runs.emplace(source.instance, run);
    return run;
}

void StreamMoves::noteNotice(const directory::Upstream &upstream)
{
    if (!m_context.ports.streamMover || !(upstream.entry.leavesIn || upstream.entry.reclaimable)) {
        return;
    }
    const Duration notice = upstream.entry.leavesIn.value_or(UnstatedNotice);
    startTask(m_executor, watch(upstream.entry, hostNow() + std::min<Duration>(notice, LongestNotice)));
}

net::awaitable<void> StreamMoves::watch(directory::UpstreamEntry upstream, TimePoint leavesAt)
{
    for (TimePoint now = hostNow(); now < leavesAt; now = hostNow()) {
        planMoves(upstream, leavesAt, now);
        co_await pause(PlanInterval);
    }
}

void StreamMoves::planMoves(const directory::UpstreamEntry &upstream, TimePoint leavesAt, TimePoint now)
{
    std::vector<std::shared_ptr<MovableRun>> runs;
    std::vector<moves::StreamProgress> streams;
    const auto [begin, end] = m_runs.equal_range(upstream.instance);
    for (auto entry = begin; entry != end;) {
        const std::shared_ptr<MovableRun> run = entry->second.lock();
        const std::shared_ptr<IMovableStream> stream = run ? run->stream.lock() : nullptr;
        if (!stream) {
            entry = m_runs.erase(entry);
            continue;
        }
        ++entry;
        const moves::StreamProgress progress = stream->progress(now);
        // A request without an event does not run yet.
        if (!run->begun && run->source.startTimeMs == upstream.startTimeMs && progress.passedTokens > 0) {
            runs.push_back(run);
            streams.push_back(progress);
        }
    }
    if (runs.empty()) {
        return;
    }
    // The entry was written up to one read of the list before this host read it.
    const Duration timeLeft = std::max<Duration>(leavesAt - now - m_context.listReadInterval, LeastTimeLeft);
    for (const moves::PlannedMove &planned : runs.front()->planner.plan(streams, timeLeft)) {
        const std::shared_ptr<MovableRun> run = runs.at(planned.stream);
        run->begun = true;
        logMove(*run, "begun", {});
        startTask(m_executor, drive(run, planned.startsAfter));
    }
}

bool StreamMoves::destinationUsable(const MovableRun &run) const
{
    return run.destination && m_context.directory.usableRun(*run.destination, hostNow()) != nullptr;
}

net::awaitable<std::optional<Continuation>> StreamMoves::continuationOf(std::shared_ptr<MovableRun> run)
{
    run->streamEnded = true;
    // Without a call to the source, nothing was copied, and nothing holds the stream's memory.
    while (run->called) {
        const moves::MoveStep step = run->move.step();
        if (step == moves::MoveStep::Done || step == moves::MoveStep::Release) {
            break;
        }
        if (step != moves::MoveStep::Resume) {
            co_await run->changed.async_wait(net::as_tuple(net::use_awaitable));
            continue;
        }
        if (!destinationUsable(*run)) {
            run->move.noteDestinationLost();
            continue;
        }
        run->taken = true;
        Continuation continuation;
        continuation.choice = *run->choice;
        continuation.destination = *run->destination;
        continuation.softwareVersion = run->source.softwareVersion;
        continuation.memory = {run->source.endpoint, run->move.handle()};
        co_return continuation;
    }
    end(*run);
    co_return std::nullopt;
}

void StreamMoves::noteResumed(MovableRun &run)
{
    run.move.noteResumed();
    endReservation(run);
    forget(run);
    logMove(run, "went_on", {});
}

net::awaitable<std::optional<Continuation>> StreamMoves::continuationAfterRefusal(std::shared_ptr<MovableRun> run)
{
    run->taken = false;
    run->move.noteResumeRefused();
    std::optional<Continuation> continuation = co_await continuationOf(run);
    co_return continuation;
}

void StreamMoves::end(MovableRun &run)
{
    run.taken = false;
    run.move.noteRunEnded();
    forget(run);
}

void StreamMoves::forget(const MovableRun &run)
{
    const auto [begin, end] = m_runs.equal_range(run.source.instance);
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second.lock().get() == &run) {
            m_runs.erase(entry);
            return;
        }
    }
}

void StreamMoves::logMove(const MovableRun &run, std::string_view change, std::string_view reason)
{
    if (change == "failed") {
        m_context.metrics.count("rosemaryshift_stream_moves_failed_total", R"(reason=")" + std::string(reason) + R"(")");
    } else if (change != "not_copied") {
        m_context.metrics.count("rosemaryshift_stream_moves_total", R"(change=")" + std::string(change) + R"(")");
    }
    m_context.eventLog.write("stream_move",
                             change == "begun" || change == "went_on" ? eventlog::Importance::Ordinary : eventlog::Importance::Failure,
                             {{"request", run.attemptId},
                              {"change", change},
                              {"reason", reason},
                              {"instance", run.source.instance},
                              {"destination", run.move.destination()},
                              {"tokens", static_cast<std::int64_t>(run.memoryTokens())}});
}

}
