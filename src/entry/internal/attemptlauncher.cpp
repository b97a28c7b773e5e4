#include "entry/internal/attemptlauncher.h"

#include "entry/internal/progressreporter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using upstreams::AttemptSpec;
using upstreams::IUpstreamCall;

namespace {

using ReporterPtr = std::shared_ptr<ProgressReporter>;

std::shared_ptr<IUpstreamCall>
makeCall(const net::any_io_executor &executor, const std::shared_ptr<requests::RequestRecord> &record, const AttemptSpec &spec, const ReporterPtr &reporter)
{
    if (record->spec.kind == requests::RequestKind::Service) {
        return upstreams::makeServiceCall(executor, record, spec);
    }
    return upstreams::makeEngineCall(executor, record, spec, [reporter](std::uint32_t tokens) { reporter->add(tokens, ProgressReporter::Clock::now()); });
}

net::awaitable<void> runToEnd(std::shared_ptr<IUpstreamCall> call, AttemptId attempt, ReporterPtr reporter, IAttemptObserver &observer)
{
    upstreams::AttemptResult result = co_await call->run();
    reporter->flush();
    observer.attemptEnded(attempt, std::move(result));
}

}

AttemptLauncher::AttemptLauncher(net::io_context &traffic, IAttemptObserver &observer)
    : m_traffic(traffic)
    , m_observer(observer)
{
}

void AttemptLauncher::launch(const std::shared_ptr<requests::RequestRecord> &record, const AttemptSpec &spec)
{
    const net::any_io_executor executor = net::make_strand(m_traffic);
    const ReporterPtr reporter = std::make_shared<ProgressReporter>(
        [&observer = m_observer, attempt = spec.attempt](std::uint32_t tokens) { observer.attemptProgressed(attempt, tokens); });
    const std::shared_ptr<IUpstreamCall> call = makeCall(executor, record, spec, reporter);
    m_running[spec.attempt] = call;
    net::co_spawn(executor, runToEnd(call, spec.attempt, reporter, m_observer), net::detached);
}

void AttemptLauncher::cancel(AttemptId attempt)
{
    const auto found = m_running.find(attempt);
    if (found != m_running.end()) {
        found->second->cancel();
    }
}

void AttemptLauncher::forget(AttemptId attempt)
{
    m_running.erase(attempt);
}

}
