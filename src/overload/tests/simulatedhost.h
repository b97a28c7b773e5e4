#pragma once

#include "overload/admissioncontrol.h"

#include <deque>
#include <map>
#include <vector>

namespace rosemaryshift::overload::testing {

/// A caller that gives an attempt up at its deadline and comes again, up to three times, after a rejection at the time that it names.
struct Caller {
    TimePoint arrived;
    std::size_t kind = 0;
    int attempts = 0;
    TimePoint attemptBegan;
    std::optional<TimePoint> served; ///< Nothing while it was not answered within the deadline of an attempt.
};

/// A host with one thread and a queue, whose callers come at a fixed rate, in virtual time. Its core does the work of its share either slowly all the time,
/// or at ten times the speed until the quota of each 100 ms is used up. Can serve Capacity requests per second.
class SimulatedHost
{
public:
    static constexpr double Capacity = 200;
    static constexpr std::chrono::milliseconds Deadline{500};

    explicit SimulatedHost(bool hasQuota);

    /// Adds callers that arrive @p perSecond, from the end of the last ones for @p time. Their kinds alternate between @p kinds.
    void addCallers(double perSecond, std::chrono::milliseconds time, std::size_t kinds = 1);
    /// Plays until all callers were served or have given up.
    void play();
    [[nodiscard]] const std::vector<Caller> &callers() const;
    /// Time from the begin of the first overload to the end of the last; nothing if there was none or it did not end.
    [[nodiscard]] std::optional<TimePoint> overloadEnded() const;
    [[nodiscard]] int overloads() const;
    [[nodiscard]] std::uint64_t rejections() const;

private:
    enum class JobKind : std::uint8_t {
        Read,   ///< Reads a request and decides on its admission.
        Answer, ///< Answers an admitted request.
        Probe,  ///< Ends a sample of the queue's delay.
    };
    struct Job {
        JobKind kind = JobKind::Read;
        std::size_t caller = 0;
        int attempt = 0;
        TimePoint enqueued;
    };

    /// Lets the time pass that the core takes for @p work.
    void work(Duration work);
    void run(const Job &job);
    void read(const Job &job);
    void sendAttempt(std::size_t caller, TimePoint at);
    [[nodiscard]] bool gaveUp(const Job &job) const;

    const bool m_hasQuota;
    LoopDelay m_delay;
    AdmissionControl m_control;
    TimePoint m_now;
    TimePoint m_periodEnd;   ///< Of the quota.
    Duration m_quotaLeft{0}; ///< Of the current period.
    TimePoint m_lastArrival;
    TimePoint m_sampleDue;
    bool m_probing = false;
    std::deque<Job> m_queue;
    std::multimap<TimePoint, std::size_t> m_arrivals; ///< Callers by the time of their next attempt.
    std::vector<Caller> m_callers;
    std::optional<TimePoint> m_overloadEnded;
    int m_overloads = 0;
    std::uint64_t m_rejections = 0;
};

}
