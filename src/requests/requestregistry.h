#pragma once

#include "requests/transcript.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace rosemaryshift::requests {

/// A request held by this host, with its answer so far. The plain members are not changed after the record is registered; the transcript and the
/// atomic members may be used from any thread.
struct RequestRecord {
    std::string id;     ///< Unique over all hosts; begins with the id prefix of the host that accepted the request.
    RequestId number{}; ///< Identifies the request in this host's decision core.
    RequestSpec spec;
    std::chrono::steady_clock::time_point arrivedAt;
    Transcript transcript;
    std::atomic<int> readers = 0;        ///< Number of callers that are reading the answer.
    std::atomic<bool> suspended = false; ///< Set when all callers have disconnected; the request resumes when one reattaches.
};

/// Limits on the finished requests that a registry keeps.
struct RegistryLimits {
    std::chrono::milliseconds retention{300'000}; ///< How long a finished request is kept.
    std::size_t maxFinished = 10'000;             ///< Number of finished requests kept; the oldest are dropped first.
};

/// The running and recently finished requests of this host. Thread-safe.
class RequestRegistry
{
public:
    RequestRegistry(std::string idPrefix, const RegistryLimits &limits);

    /// Registers a new request under a new id.
    std::shared_ptr<RequestRecord> add(RequestSpec spec);
    /// Registers a request that another host accepted, with its answer so far. Null when the request is already registered and was not handed over
    /// to another host.
    std::shared_ptr<RequestRecord> restore(const std::string &id, RequestSpec spec, std::vector<ResponseChunk> chunks);
    /// Returns the record with the id @p id; null when there is none.
    [[nodiscard]] std::shared_ptr<RequestRecord> find(std::string_view id) const;
    /// Returns the record with the number @p number; null when there is none.
    [[nodiscard]] std::shared_ptr<RequestRecord> find(RequestId number) const;
    /// Marks a record as finished, so that it is dropped after the retention time.
    void markFinished(const RequestRecord &record);
    [[nodiscard]] std::size_t size() const;

private:
    struct Finished {
        std::chrono::steady_clock::time_point at;
        RequestId number;
    };
    /// Assigns the next number to @p record and adds it to the indexes. Precondition: the mutex is held.
    void insert(const std::shared_ptr<RequestRecord> &record);
    /// Drops finished requests that are beyond the limits. Precondition: the mutex is held.
    void dropExpired();

    const std::string m_idPrefix;
    const RegistryLimits m_limits;
    mutable std::mutex m_mutex;
    std::uint64_t m_nextNumber = 1;
    std::map<RequestId, std::shared_ptr<RequestRecord>> m_byNumber;
    std::map<std::string, std::shared_ptr<RequestRecord>, std::less<>> m_byId;
    std::deque<Finished> m_finished;
};

}
