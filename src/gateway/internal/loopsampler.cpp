#include "gateway/internal/loopsampler.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Time from the end of a sample to the next one.
constexpr std::chrono::milliseconds SampleInterval{50};
/// As SampleInterval, while the queue of the event loop is filled: an empty queue between two requests has to be noticed.
constexpr std::chrono::milliseconds FrequentSampleInterval{10};
/// How often the probe passes the queue of the event loop. A request passes it several times, behind what the requests of other callers have added.
constexpr int ProbePasses = 4;

}

LoopSampler::LoopSampler(GatewayContext &context)
    : m_context(context)
{
}

net::awaitable<void> LoopSampler::run()
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    while (true) {
        const std::chrono::milliseconds interval = m_context.admission->needsFrequentDelays() ? FrequentSampleInterval : SampleInterval;
        m_context.loopDelay.beginSample(hostNow() + interval);
        co_await pause(interval);
        m_context.loopDelay.noteTimerRan(hostNow());
        for (int pass = 0; pass < ProbePasses; ++pass) {
            co_await net::post(executor, net::use_awaitable);
        }
        const TimePoint now = hostNow();
        const overload::DelaySample sample = m_context.loopDelay.noteProbePassed(now);
        m_context.admission->noteDelay(sample, now);
        m_context.metrics.observe("rosemaryshift_loop_delay_seconds", "", sample.lateness);
    }
}

}
