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
constexpr Duration ReplacementAfter = std::chrono::seconds(25);
constexpr TimePoint OutageBegin{std::chrono::seconds(60)};
constexpr TimePoint OutageEnd{std::chrono::seconds(70)};
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
                schedule(ReclaimAt, NoticeGiven{upstream, ReclaimAt + ReclaimNotice});
                schedule(ReclaimAt + ReclaimNotice, UpstreamEnds{upstream, true});
                schedule(ReclaimAt + ReplacementAfter, UpstreamStarts{upstream});
            }
        }
    }
    for (std::size_t i = 0; m_experiment.outage && i < models.size(); ++i) {
        schedule(OutageBegin, UpstreamEnds{models[i], false});
        schedule(OutageEnd, UpstreamStarts{models[i]});
    }
    const std::size_t share = static_cast<std::size_t>(m_experiment.slowedShare * static_cast<double>(models.size()));
    const std::size_t slowed = std::max<std::size_t>(share, m_experiment.slowed);
    std::shuffle(models.begin(), models.end(), random);
    for (std::size_t i = 0; i < std::min(slowed, models.size()); ++i) {
        schedule(SlowBegin, SpeedChanges{models[i], SlowedFactor});
        schedule(SlowEnd, SpeedChanges{models[i], 1});
    }
}

void Emulator::happen(const SpeedChanges &changes)
{
    m_upstreams[changes.upstream].fake.slowDown(changes.slowness, m_now);
    scheduleOutput(changes.upstream);
}

void Emulator::happen(const NoticeGiven &notice)
{
    tellAll(decisions::UpstreamLeaving{static_cast<UpstreamId>(notice.upstream), notice.goneAt}, ListDelay);
}

void Emulator::happen(const UpstreamEnds &ends)
{
    Upstream &upstream = m_upstreams[ends.upstream];
    upstream.live = false;
    for (const AttemptKey key : upstream.fake.dropAll()) {
        sendEnd(ends.upstream, key, AttemptOutcome::Broken);
    }
    scheduleOutput(ends.upstream);
    if (ends.listed) {
        tellAll(decisions::UpstreamGone{static_cast<UpstreamId>(ends.upstream)}, ListDelay);
    }
}

void Emulator::happen(const UpstreamStarts &starts)
{
    m_upstreams[starts.upstream].live = true;
    m_upstreams[starts.upstream].fake = FakeUpstream(*m_upstreams[starts.upstream].group);
    for (std::uint32_t host = 0; host < m_hosts.size(); ++host) {
        schedule(m_now + ListDelay, ReachesHost{host, listing(starts.upstream, host)});
    }
}

}
