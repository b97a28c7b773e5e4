#include "balancing/internal/latencypredictor.h"
#include "balancing/internal/peerload.h"
#include "balancing/internal/upstreamrecords.h"

namespace rosemaryshift::balancing {

namespace {

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

}

PrefillWork
UpstreamBalancer::prefillWork(const RequestProfile &profile, std::string_view instance, const Upstream *upstream, std::uint64_t uncached, TimePoint now) const
{
    const Outstanding reported = m_peerLoad->at(std::string(instance));
    const Outstanding own = upstream != nullptr ? upstream->own : Outstanding();
    const std::optional<std::uint32_t> stated = m_predictor->statedRequests(instance, own.running, now);
    return {profile.promptTokens, uncached, own.prefillTokens, reported.prefillTokens, stated.value_or(own.running + reported.running)};
}

double UpstreamBalancer::predict(Scored &scored, const RequestProfile &profile, const Candidate &candidate, const Upstream *upstream, TimePoint now) const
{
    const PrefillWork work = prefillWork(profile, candidate.instance, upstream, scored.uncached, now);
    const LatencyPredictor::Prediction prediction = m_predictor->predict({profile.service, candidate.instance, candidate.slots}, work, now);
    scored.expected = prediction.firstEvent;
    scored.queued = prediction.queued;
    scored.speed = 1 / m_predictor->speeds().slowness(candidate.instance, now);
    return prediction.costToOthers;
}

void UpstreamBalancer::recordPooledSample(const Attempt &attempt, TimePoint now)
{
    if (attempt.pooled && !attempt.queued) {
        m_predictor->addFirstEvent({attempt.service, attempt.instance}, attempt.work, milliseconds(now - attempt.began), now);
    }
}

void UpstreamBalancer::recordGaps(std::uint64_t number, std::uint32_t gaps, Duration total, TimePoint now)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end() || !found->second.pooled || gaps == 0) {
        return;
    }
    const Attempt &attempt = found->second;
    m_predictor->addGaps({attempt.service, attempt.instance}, attempt.work.running, gaps, milliseconds(total) / gaps, now);
}

void UpstreamBalancer::recordStatement(std::string_view instance, const ports::StatedLoad &load, TimePoint now)
{
    const Upstream *const upstream = find(instance);
    m_predictor->noteStatement(instance, load, upstream != nullptr ? upstream->own.running : 0, now);
}

UpstreamSpeeds &UpstreamBalancer::speeds()
{
    return m_predictor->speeds();
}

double UpstreamBalancer::speed(std::string_view service, std::string_view instance, TimePoint now) const
{
    return m_predictor->speed(service, instance, now);
}

}
