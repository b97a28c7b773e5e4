#include "measure/internal/emulator.h"

#include <algorithm>

namespace rosemaryshift::measure {

using decisions::AttemptOutcome;

namespace {

constexpr TimePoint SlowBegin{std::chrono::seconds(45)};
constexpr TimePoint SlowEnd{std::chrono::seconds(115)};
constexpr double SlowedFactor = 5;
constexpr TimePoint ReclaimAt{std::chrono::seconds(60)};
constexpr Duration ReclaimNotice = std::chrono::seconds(5);
/// Time from the reclaim notice to the start of the replacement.
constexpr Duration ReplacementAfter = std::chrono::seconds(25);
constexpr TimePoint OutageBegin{std::chrono::seconds(60)};
constexpr TimePoint OutageEnd{std::chrono::seconds(70)};
/// Time until a change of the list of upstreams reaches the entry hosts.
constexpr Duration ListDelay = std::chrono::milliseconds(500);

}

void Emulator::planFaults(std::mt19937_64 &random)
{
    std::vector<std::size_t> models;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        if (!m_upstreams[i].group->service) {
            models.push_back(i);
        }
    }
    if (m_experiment.reclaimZone) {
        for (const std::size_t upstream : models) {
            if (m_upstreams[upstream].zone == 0) {
                schedule(ReclaimAt, LeavingNotice{upstream, ReclaimAt + ReclaimNotice});
                schedule(ReclaimAt + ReclaimNotice, UpstreamStop{upstream, true});
                schedule(ReclaimAt + ReplacementAfter, UpstreamStart{upstream});
            }
        }
    }
    for (std::size_t i = 0; m_experiment.outage && i < models.size(); ++i) {
        schedule(OutageBegin, UpstreamStop{models[i], false});
        schedule(OutageEnd, UpstreamStart{models[i]});
    }
    const std::size_t share = static_cast<std::size_t>(m_experiment.slowedShare * static_cast<double>(models.size()));
    const std::size_t slowed = std::max<std::size_t>(share, m_experiment.slowedCount);
    std::shuffle(models.begin(), models.end(), random);
    for (std::size_t i = 0; i < std::min(slowed, models.size()); ++i) {
        schedule(SlowBegin, SpeedChange{models[i], SlowedFactor});
        schedule(SlowEnd, SpeedChange{models[i], 1});
    }
}

void Emulator::handle(const SpeedChange &change)
{
    m_upstreams[change.upstream].fake.setSlowdown(change.slowdown, m_now);
    scheduleOutput(change.upstream);
}

void Emulator::handle(const LeavingNotice &notice)
{
    broadcast(decisions::UpstreamLeaving{static_cast<UpstreamId>(notice.upstream), notice.goneAt}, ListDelay);
}

void Emulator::handle(const UpstreamStop &stop)
{
    Upstream &upstream = m_upstreams[stop.upstream];
    upstream.live = false;
    for (const AttemptKey key : upstream.fake.dropAll()) {
        sendEnd(stop.upstream, key, AttemptOutcome::Broken);
    }
    scheduleOutput(stop.upstream);
    if (stop.announced) {
        broadcast(decisions::UpstreamGone{static_cast<UpstreamId>(stop.upstream)}, ListDelay);
    }
}

void Emulator::handle(const UpstreamStart &start)
{
    m_upstreams[start.upstream].live = true;
    m_upstreams[start.upstream].fake = FakeUpstream(*m_upstreams[start.upstream].group);
    for (std::uint32_t host = 0; host < m_hosts.size(); ++host) {
        schedule(m_now + ListDelay, HostEventArrival{host, listing(start.upstream, host)});
    }
}

}
