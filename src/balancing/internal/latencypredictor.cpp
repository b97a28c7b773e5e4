#include "balancing/internal/latencypredictor.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::balancing {

namespace {

/// Weight of a new sample in the mean slowness of the upstreams that serve this host's requests.
constexpr double MeanSlownessWeight = 0.02;
/// Weight of a new sample in the mean speed and the mean time to a first event.
constexpr double MeanWeight = 0.05;
/// Change of the cost of a place with each request, for a relative excess of 1 over the proportion to the speeds; and the greatest cost.
constexpr double PlaceCostStep = 0.1;
constexpr double MaxPlaceCost = 8;
/// Age up to which a statement replaces what the hosts report of an upstream's requests.
constexpr std::chrono::milliseconds StatementLifetime{600};
/// Gaps of a stream from which its mean gap is a sample of the upstream's speed, and the weight of such a sample.
constexpr std::uint32_t MinGaps = 4;
constexpr double GapWeight = 2;

}

const LatencyPredictor::Service &LatencyPredictor::find(std::string_view service) const
{
    static const Service Unseen;
    const auto found = m_services.find(service);
    return found == m_services.end() ? Unseen : found->second;
}

LatencyPredictor::Service &LatencyPredictor::at(std::string_view service)
{
    const auto found = m_services.find(service);
    return found != m_services.end() ? found->second : m_services[std::string(service)];
}

double LatencyPredictor::relativeSlowness(const Service &service, std::string_view instance, TimePoint now) const
{
    return m_speeds.slowness(instance, now) / std::exp(service.meanLogSlowness);
}

LatencyPredictor::Prediction LatencyPredictor::predict(const Place &place, const PrefillWork &work, TimePoint now) const
{
    const Service &service = find(place.service);
    const double slowness = relativeSlowness(service, place.instance, now) * m_speeds.momentarySlowness(place.instance, now);
    const std::uint32_t slots = std::max(1U, place.slots);
    Prediction prediction;
    prediction.firstEvent = slowness * service.model.firstEvent(work);
    prediction.costToOthers = slowness * service.model.ownPrefill(work) + service.placeCost * service.meanFirstEvent / m_speeds.slowness(place.instance, now);
    prediction.queued = work.running >= slots;
    if (prediction.queued) {
        prediction.firstEvent += slowness * service.model.remainder() * (work.running - slots + 1.0) / slots;
    }
    return prediction;
}

void LatencyPredictor::noteChoice(std::string_view name, std::string_view instance, double comparedSpeed, TimePoint now)
{
    Service &service = at(name);
    if (comparedSpeed > 0) {
        service.meanSpeed += MeanWeight * (comparedSpeed - service.meanSpeed);
    }
    // Requests are in proportion to the speeds when the mean slowness of the chosen upstreams is the inverse of the mean speed.
    const double excess = 1 - service.meanSpeed * m_speeds.slowness(instance, now);
    service.placeCost = std::clamp(service.placeCost + PlaceCostStep * excess, 0.0, MaxPlaceCost);
}

void LatencyPredictor::addFirstEvent(const Place &place, const PrefillWork &work, double took, TimePoint now)
{
    Service &service = at(place.service);
    const double momentary = m_speeds.momentarySlowness(place.instance, now);
    const double slowness = m_speeds.slowness(place.instance, now);
    m_speeds.addSample(place.instance, took / (service.model.firstEvent(work) * momentary), 1, now);
    service.model.addFirstEvent(work, took / (relativeSlowness(service, place.instance, now) * momentary));
    service.meanFirstEvent += MeanWeight * (service.model.firstEvent(work) - service.meanFirstEvent);
    service.meanLogSlowness += MeanSlownessWeight * (std::log(slowness) - service.meanLogSlowness);
}

void LatencyPredictor::addGaps(const Place &place, std::uint32_t running, std::uint32_t gaps, double mean, TimePoint now)
{
    if (gaps < MinGaps) {
        return;
    }
    Service &service = at(place.service);
    if (service.model.hasGaps()) {
        m_speeds.addSample(place.instance, mean / service.model.gap(running), GapWeight, now);
    }
    service.model.addGap(running, mean / relativeSlowness(service, place.instance, now));
}

void LatencyPredictor::addRemainder(std::string_view service, double took)
{
    at(service).model.addRemainder(took);
}

void LatencyPredictor::noteStatement(std::string_view instance, const ports::StatedLoad &load, std::uint32_t own, TimePoint now)
{
    m_speeds.noteStated(instance, load.slowness, now);
    m_statements[std::string(instance)] = {load.running + load.waiting, own, now};
}

std::optional<std::uint32_t> LatencyPredictor::statedRequests(std::string_view instance, std::uint32_t own, TimePoint now) const
{
    const auto found = m_statements.find(std::string(instance));
    if (found == m_statements.end() || now - found->second.at > StatementLifetime) {
        return std::nullopt;
    }
    const LoadStatement &statement = found->second;
    return statement.requests + own - std::min(statement.requests + own, statement.own);
}

double LatencyPredictor::speed(std::string_view service, std::string_view instance, TimePoint now) const
{
    return 1 / relativeSlowness(find(service), instance, now);
}

void LatencyPredictor::forgetUpstream(std::string_view instance, TimePoint now)
{
    m_speeds.forgetUpstream(instance, now);
    m_statements.erase(std::string(instance));
}

UpstreamSpeeds &LatencyPredictor::speeds()
{
    return m_speeds;
}

}
