#include "requests/requestregistry.h"

namespace rosemaryshift::requests {

using std::chrono::steady_clock;

RequestRegistry::RequestRegistry(std::string idPrefix, const RegistryLimits &limits)
    : m_idPrefix(std::move(idPrefix))
    , m_limits(limits)
{
}

std::shared_ptr<RequestRecord> RequestRegistry::add(RequestSpec spec)
{
    const std::shared_ptr<RequestRecord> record = std::make_shared<RequestRecord>();
    record->spec = std::move(spec);
    record->arrivedAt = steady_clock::now();
    const std::lock_guard lock(m_mutex);
    dropExpired();
    record->id = m_idPrefix + "-" + std::to_string(m_nextNumber);
    insert(record);
    return record;
}

std::shared_ptr<RequestRecord> RequestRegistry::restore(const std::string &id, RequestSpec spec, std::vector<ResponseChunk> chunks)
{
    const std::shared_ptr<RequestRecord> record = std::make_shared<RequestRecord>();
    record->id = id;
    record->spec = std::move(spec);
    record->arrivedAt = steady_clock::now();
    record->transcript.restore(std::move(chunks));
    const std::lock_guard lock(m_mutex);
    const auto registered = m_byId.find(id);
    if (registered != m_byId.end() && registered->second->transcript.state() != TranscriptState::Moved) {
        return nullptr;
    }
    dropExpired();
    insert(record);
    return record;
}

void RequestRegistry::insert(const std::shared_ptr<RequestRecord> &record)
{
    record->number = static_cast<RequestId>(m_nextNumber);
    ++m_nextNumber;
    m_byNumber[record->number] = record;
    m_byId[record->id] = record;
}

std::shared_ptr<RequestRecord> RequestRegistry::find(std::string_view id) const
{
    const std::lock_guard lock(m_mutex);
    const std::map<std::string, std::shared_ptr<RequestRecord>, std::less<>>::const_iterator found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

std::shared_ptr<RequestRecord> RequestRegistry::find(RequestId number) const
{
    const std::lock_guard lock(m_mutex);
    const std::map<RequestId, std::shared_ptr<RequestRecord>>::const_iterator found = m_byNumber.find(number);
    return found == m_byNumber.end() ? nullptr : found->second;
}

void RequestRegistry::markFinished(const RequestRecord &record)
{
    const std::lock_guard lock(m_mutex);
    m_finished.push_back({steady_clock::now(), record.number});
    dropExpired();
}

void RequestRegistry::dropExpired()
{
    const steady_clock::time_point oldest = steady_clock::now() - m_limits.retention;
    while (!m_finished.empty() && (m_finished.size() > m_limits.maxFinished || m_finished.front().at < oldest)) {
        const std::map<RequestId, std::shared_ptr<RequestRecord>>::iterator found = m_byNumber.find(m_finished.front().number);
        if (found != m_byNumber.end()) {
            const auto byId = m_byId.find(found->second->id);
            if (byId != m_byId.end() && byId->second == found->second) {
                m_byId.erase(byId);
            }
            m_byNumber.erase(found);
        }
        m_finished.pop_front();
    }
}

std::size_t RequestRegistry::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_byNumber.size();
}

}
