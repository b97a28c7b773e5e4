#include "entry/internal/requestmover.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using timeline::EventKind;

namespace {

/// Part of a reclaim notice that is reserved for handing requests over and informing callers.
constexpr milliseconds HandOverMargin{5'000};
constexpr milliseconds DrainPollInterval{20};

}

RequestMover::RequestMover(std::shared_ptr<requests::RequestRegistry> registry, std::shared_ptr<timeline::ITimeline> timeline, Callbacks callbacks)
    : m_registry(std::move(registry))
    , m_timeline(std::move(timeline))
    , m_callbacks(std::move(callbacks))
{
}

void RequestMover::setReplicator(replication::IReplicator &replicator)
{
    m_replicator = &replicator;
}

void RequestMover::accepted(const RecordPtr &record)
{
    m_replicator->replicate(record);
}

void RequestMover::ended(const requests::RequestRecord &record)
{
    m_replicator->stopReplicating(record.id);
}

void RequestMover::takeOver(replication::ReplicaRecord replica)
{
    const std::string from = replica.owner;
    const std::size_t chunks = replica.chunks.size();
    const RecordPtr record = m_registry->restore(replica.id, std::move(replica.spec), std::move(replica.chunks));
    if (!record) {
        return;
    }
    m_timeline->record(EventKind::RequestResumed,
                       {.request = record->id, .workspace = record->spec.workspace, .detail = "of " + from + ", behind " + std::to_string(chunks) + " pieces"});
    m_replicator->replicate(record);
    m_callbacks.submit(record);
}

net::awaitable<void> RequestMover::awaitCompletion(steady_clock::time_point until)
{
    net::steady_timer poll(co_await net::this_coro::executor);
    while (m_callbacks.busy() && steady_clock::now() < until) {
        poll.expires_after(DrainPollInterval);
        co_await poll.async_wait(net::as_tuple(net::use_awaitable));
    }
}

net::awaitable<void> RequestMover::drain(milliseconds notice)
{
    const steady_clock::time_point handOverAt = steady_clock::now() + notice - std::min(HandOverMargin, notice / 2);
    co_await awaitCompletion(handOverAt);
    const std::vector<RecordPtr> records = m_replicator->replicatedRequests();
    if (records.empty()) {
        co_return;
    }
    m_movingCount = records.size();
    for (const RecordPtr &record : records) {
        record->transcript.freeze();
        m_callbacks.withdraw(record);
    }
    std::vector<RecordPtr> toHandOver = records;
    const std::optional<std::string> successor = co_await m_replicator->handOver(std::move(toHandOver));
    finishHandOver(records, successor);
    m_movingCount = 0;
}

void RequestMover::finishHandOver(const std::vector<RecordPtr> &records, const std::optional<std::string> &successor)
{
    for (const RecordPtr &record : records) {
        if (!successor) {
            record->transcript.thaw();
            m_callbacks.submit(record);
            continue;
        }
        m_timeline->record(EventKind::RequestHandedOver, {.request = record->id, .workspace = record->spec.workspace, .detail = "to " + *successor});
        m_replicator->stopReplicating(record->id);
        record->transcript.move();
        m_registry->markFinished(*record);
    }
}

std::size_t RequestMover::replicaCount() const
{
    return m_replicator->replicaCount();
}

std::size_t RequestMover::movingCount() const
{
    return m_movingCount;
}

}
