#include "measure/internal/fakeupstream.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::measure {

namespace {

constexpr std::uint32_t TokensPerOutput = 8;
constexpr double Rounding = 1e-6; ///< Tolerance for rounding errors, in tokens.

}

FakeUpstream::FakeUpstream(const UpstreamGroup &group)
    : m_group(group)
{
}

double FakeUpstream::secondsPerToken() const
{
    const double others = m_running.empty() ? 0 : static_cast<double>(m_running.size() - 1);
    return std::chrono::duration<double>(m_group.perToken).count() * (1 + m_group.batchSlope * others) * m_slowdown;
}

void FakeUpstream::generateUntil(TimePoint now)
{
    m_generated += std::chrono::duration<double>(now - m_now).count() / secondsPerToken();
    m_now = now;
}

std::uint32_t FakeUpstream::uncached(const Job &job)
{
    const bool known = std::erase(m_prefixes, job.prefixHash) > 0;
    m_prefixes.push_front(job.prefixHash);
    if (m_prefixes.size() > m_group.cachedPrefixes) {
        m_prefixes.pop_back();
    }
    return job.promptTokens + job.tokensDone - (known ? job.prefixTokens : 0);
}

std::uint32_t FakeUpstream::begin(const Job &job, TimePoint now)
{
    generateUntil(now);
    const std::uint32_t uncachedTokens = uncached(job);
    Job work = job;
    work.promptTokens = uncachedTokens;
    m_queue.emplace(job.priority, work);
    fillBatch();
    return uncachedTokens;
}

void FakeUpstream::fillBatch()
{
    while (!m_queue.empty() && m_running.size() < m_group.slots) {
        start(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
    }
}

void FakeUpstream::start(const Job &job)
{
    Running running;
    running.firstTokenAt = m_generated + m_group.prefillWork * job.promptTokens + 1;
    running.nextOutputAt = running.firstTokenAt;
    running.tokens = std::max(job.tokens, 1U);
    m_outputs.emplace(running.nextOutputAt, job.key);
    m_running.emplace(job.key, running);
}

bool FakeUpstream::cancel(AttemptKey key, TimePoint now)
{
    generateUntil(now);
    const std::map<AttemptKey, Running>::iterator found = m_running.find(key);
    if (found == m_running.end()) {
        return std::erase_if(m_queue, [key](const auto &entry) { return entry.second.key == key; }) > 0;
    }
    m_outputs.erase({found->second.nextOutputAt, key});
    m_running.erase(found);
    fillBatch();
    return true;
}

void FakeUpstream::setSlowdown(double factor, TimePoint now)
{
    generateUntil(now);
    m_slowdown = factor;
}

JobOutput FakeUpstream::output(AttemptKey key, Running &running)
{
    const double generated = std::floor(m_generated - running.firstTokenAt + Rounding) + 1;
    const std::uint32_t done = std::min(static_cast<std::uint32_t>(std::max(generated, 1.0)), running.tokens);
    const JobOutput given{key, done - running.sent, done == running.tokens};
    running.sent = done;
    running.nextOutputAt = running.firstTokenAt + std::min(done + TokensPerOutput, running.tokens) - 1;
    return given;
}

std::vector<JobOutput> FakeUpstream::advance(TimePoint now)
{
    generateUntil(now);
    std::vector<JobOutput> outputs;
    while (!m_outputs.empty() && m_outputs.begin()->first <= m_generated + Rounding) {
        const AttemptKey key = m_outputs.begin()->second;
        m_outputs.erase(m_outputs.begin());
        Running &running = m_running.at(key);
        outputs.push_back(output(key, running));
        if (outputs.back().ended) {
            m_running.erase(key);
            continue;
        }
        m_outputs.emplace(running.nextOutputAt, key);
    }
    fillBatch();
    return outputs;
}

std::optional<TimePoint> FakeUpstream::nextOutput() const
{
    if (m_outputs.empty()) {
        return std::nullopt;
    }
    const double seconds = std::max(m_outputs.begin()->first - m_generated, 0.0) * secondsPerToken();
    return m_now + std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

std::vector<AttemptKey> FakeUpstream::dropAll()
{
    std::vector<AttemptKey> keys;
    for (const auto &[key, running] : m_running) {
        keys.push_back(key);
    }
    for (const auto &[priority, job] : m_queue) {
        keys.push_back(job.key);
    }
    m_running.clear();
    m_outputs.clear();
    m_queue.clear();
    return keys;
}

std::uint32_t FakeUpstream::running() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t FakeUpstream::queued() const
{
    return static_cast<std::uint32_t>(m_queue.size());
}

}
