#include "overload/tests/simulatedhost.h"

#include <algorithm>

namespace rosemaryshift::overload::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr int MaxAttempts = 3;
/// Work of a core that has the host's whole share, which serves a request in 5 ms.
constexpr microseconds ReadWork{500};
constexpr microseconds RejectWork{200};
constexpr microseconds AnswerWork{4'500};
constexpr microseconds ProbeWork{100};
constexpr milliseconds QuotaPeriod{100};
constexpr milliseconds QuotaRunTime{10};
constexpr int QuotaSpeed = 10;
constexpr milliseconds SampleInterval{50};
constexpr milliseconds FrequentSampleInterval{10};

}

SimulatedHost::SimulatedHost(bool hasQuota)
    : m_hasQuota(hasQuota)
    , m_control([this](const OverloadReport &report) {
        m_overloads += report.change == OverloadChange::Begun ? 1 : 0;
        m_overloadEnded = report.change == OverloadChange::Ended ? std::optional<TimePoint>(m_now) : std::nullopt;
    })
    , m_sampleDue(m_now + SampleInterval)
{
    m_delay.beginSample(m_sampleDue);
}

void SimulatedHost::addCallers(double perSecond, milliseconds time, std::size_t kinds)
{
    const TimePoint begin = m_lastArrival;
    const std::chrono::duration<double> interval(1 / perSecond);
    for (std::size_t number = 0; static_cast<double>(number) * interval < time; ++number) {
        Caller caller;
        caller.arrived = begin + std::chrono::duration_cast<Duration>(static_cast<double>(number) * interval);
        caller.kind = number % kinds;
        m_arrivals.emplace(caller.arrived, m_callers.size());
        m_callers.push_back(caller);
    }
    m_lastArrival = begin + time;
}

void SimulatedHost::play()
{
    while (!m_arrivals.empty() || !m_queue.empty()) {
        if (m_queue.empty()) {
            m_now = std::max(m_now, std::min(m_arrivals.begin()->first, m_probing ? TimePoint::max() : m_sampleDue));
        }
        while (!m_arrivals.empty() && m_arrivals.begin()->first <= m_now) {
            sendAttempt(m_arrivals.begin()->second, m_arrivals.begin()->first);
            m_arrivals.erase(m_arrivals.begin());
        }
        if (!m_probing && m_sampleDue <= m_now) {
            work(ProbeWork);
            m_delay.noteTimerRan(m_now);
            m_probing = true;
            m_queue.push_back({JobKind::Probe, 0, 0, m_now});
        }
        if (!m_queue.empty()) {
            const Job job = m_queue.front();
            m_queue.pop_front();
            run(job);
        }
    }
}

void SimulatedHost::sendAttempt(std::size_t number, TimePoint at)
{
    Caller &caller = m_callers[number];
    if (caller.served || caller.attempts == MaxAttempts) {
        return;
    }
    ++caller.attempts;
    caller.attemptBegan = at;
    m_queue.push_back({JobKind::Read, number, caller.attempts, at});
    m_arrivals.emplace(at + Deadline, number);
}

bool SimulatedHost::gaveUp(const Job &job) const
{
    const Caller &caller = m_callers[job.caller];
    return caller.attempts != job.attempt || m_now >= caller.attemptBegan + Deadline;
}

void SimulatedHost::run(const Job &job)
{
    switch (job.kind) {
    case JobKind::Read:
        read(job);
        break;
    case JobKind::Answer:
        work(AnswerWork);
        m_control.noteAnswering();
        if (!gaveUp(job)) {
            m_callers[job.caller].served = m_now;
        }
        break;
    case JobKind::Probe:
        work(ProbeWork);
        m_control.noteDelay(m_delay.noteProbePassed(m_now), m_now);
        m_sampleDue = m_now + (m_control.needsFrequentDelays() ? FrequentSampleInterval : SampleInterval);
        m_delay.beginSample(m_sampleDue);
        m_probing = false;
        break;
    }
}

void SimulatedHost::read(const Job &job)
{
    work(ReadWork);
    if (gaveUp(job)) {
        return;
    }
    const std::optional<Rejection> rejection = m_control.admit(Deadline - m_delay.estimate(m_now), m_now);
    if (!rejection) {
        m_queue.push_back({JobKind::Answer, job.caller, job.attempt, m_now});
        return;
    }
    work(RejectWork);
    ++m_rejections;
    std::erase_if(m_arrivals, [&job](const std::pair<const TimePoint, std::size_t> &arrival) { return arrival.second == job.caller; });
    if (rejection->retryAfter) {
        m_arrivals.emplace(m_now + *rejection->retryAfter, job.caller);
    }
}

void SimulatedHost::work(Duration work)
{
    if (!m_hasQuota) {
        m_now += work;
        return;
    }
    for (Duration left = work / QuotaSpeed; left > Duration::zero();) {
        if (m_now >= m_periodEnd) {
            m_periodEnd = m_now - m_now.time_since_epoch() % Duration(QuotaPeriod) + QuotaPeriod;
            m_quotaLeft = QuotaRunTime;
        }
        const Duration runs = std::min({left, m_quotaLeft, m_periodEnd - m_now});
        m_now += runs;
        m_quotaLeft -= runs;
        left -= runs;
        if (m_quotaLeft == Duration::zero()) {
            m_now = m_periodEnd;
        }
    }
}

const std::vector<Caller> &SimulatedHost::callers() const
{
    return m_callers;
}

std::optional<TimePoint> SimulatedHost::overloadEnded() const
{
    return m_overloadEnded;
}

int SimulatedHost::overloads() const
{
    return m_overloads;
}

std::uint64_t SimulatedHost::rejections() const
{
    return m_rejections;
}

}
