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

/// Left of a notice for handing over and for telling callers.
constexpr milliseconds HandOverMargin{5'000};
constexpr milliseconds EndPoll{20};

}

RequestMover::RequestMover(std::shared_ptr<requests::RequestRegistry> registry, std::shared_ptr<timeline::ITimeline> timeline, Hooks hooks)
    : m_registry(std::move(registry))
    , m_timeline(std::move(timeline))
    , m_hooks(std::move(hooks))
{
}

void RequestMover::use(replication::IReplicator &replicator)
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

void RequestMover::adopt(replication::ReplicaRecord kept)
{
    const std::string from = kept.owner;
    const std::size_t chunks = kept.chunks.size();
    const RecordPtr record = m_registry->restore(kept.id, std::move(kept.spec), std::move(kept.chunks));
    if (!record) {
        return;
    }
    m_timeline->record(EventKind::RequestResumed,
                       {.request = record->id, .workspace = record->spec.workspace, .detail = "of " + from + ", behind " + std::to_string(chunks) + " pieces"});
    m_replicator->replicate(record);
    m_hooks.decide(record);
}

net::awaitable<void> RequestMover::awaitEnds(steady_clock::time_point until)
{
    net::steady_timer poll(co_await net::this_coro::executor);
    while (m_hooks.busy() && steady_clock::now() < until) {
        poll.expires_after(EndPoll);
        co_await poll.async_wait(net::as_tuple(net::use_awaitable));
    }
}

net::awaitable<void> RequestMover::leave(milliseconds notice)
{
    const steady_clock::time_point handOverAt = steady_clock::now() + notice - std::min(HandOverMargin, notice / 2);
    co_await awaitEnds(handOverAt);
    const std::vector<RecordPtr> records = m_replicator->replicatedRequests();
    if (records.empty()) {
        co_return;
    }
    m_moving = records.size();
    for (const RecordPtr &record : records) {
        record->transcript.freeze();
        m_hooks.withdraw(record);
    }
    std::vector<RecordPtr> handed = records;
    const std::optional<std::string> successor = co_await m_replicator->handOver(std::move(handed));
    settle(records, successor);
    m_moving = 0;
}

void RequestMover::settle(const std::vector<RecordPtr> &records, const std::optional<std::string> &successor)
{
    for (const RecordPtr &record : records) {
        if (!successor) {
            record->transcript.thaw();
            m_hooks.decide(record);
            continue;
        }
        m_timeline->record(EventKind::RequestHandedOver, {.request = record->id, .workspace = record->spec.workspace, .detail = "to " + *successor});
        m_replicator->stopReplicating(record->id);
        record->transcript.move();
        m_registry->markFinished(*record);
    }
}

std::size_t RequestMover::replicaRecords() const
{
    return m_replicator->replicaCount();
}

std::size_t RequestMover::moving() const
{
    return m_moving;
}

}
