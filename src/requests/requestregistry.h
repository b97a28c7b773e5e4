#pragma once

#include "requests/transcript.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace rosemaryshift::requests {

/// One request as this host holds it. The members are fixed; the transcript is thread-safe.
struct RequestRecord {
    std::string id;     ///< Unique over all hosts; names the host that accepted the request.
    RequestId number{}; ///< The same request in this host's decision core.
    RequestSpec spec;
    std::chrono::steady_clock::time_point arrivedAt;
    Transcript transcript;
    std::atomic<int> readers = 0;        ///< Callers that wait for the answer now.
    std::atomic<bool> suspended = false; ///< All callers left; the request goes on when one reattaches.
};

struct RegistryLimits {
    std::chrono::milliseconds retention{300'000}; ///< Of a finished request.
    std::size_t maxFinished = 10'000;
};

/// All requests this host holds, running and lately finished. Thread-safe.
class RequestRegistry
{
public:
    RequestRegistry(std::string idPrefix, const RegistryLimits &limits);

    /// Makes a record with a new id.
    std::shared_ptr<RequestRecord> add(RequestSpec spec);
    /// Makes a record of a request that another host has accepted, with the answer so far; null when it is here already and has not moved away.
    std::shared_ptr<RequestRecord> restore(const std::string &id, RequestSpec spec, std::vector<ResponseChunk> chunks);
    /// The record with the id @p id; null when there is none.
    [[nodiscard]] std::shared_ptr<RequestRecord> find(std::string_view id) const;
    /// The record with the number @p number; null when there is none.
    [[nodiscard]] std::shared_ptr<RequestRecord> find(RequestId number) const;
    /// Notes that a record has its end, so that it is dropped after the retention time.
    void markFinished(const RequestRecord &record);
    [[nodiscard]] std::size_t size() const;

private:
    struct Finished {
        std::chrono::steady_clock::time_point at;
        RequestId number;
    };
    /// Precondition: the mutex is held.
    void insert(const std::shared_ptr<RequestRecord> &record);
    /// Precondition: the mutex is held.
    void dropOld();

    const std::string m_idPrefix;
    const RegistryLimits m_limits;
    mutable std::mutex m_mutex;
    std::uint64_t m_next = 1;
    std::map<RequestId, std::shared_ptr<RequestRecord>> m_byNumber;
    std::map<std::string, std::shared_ptr<RequestRecord>, std::less<>> m_byId;
    std::deque<Finished> m_finished;
};

}
