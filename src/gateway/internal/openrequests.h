#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

namespace rosemaryshift::gateway {

class RequestSession;

/// Number of requests that were ended because the process had to exit.
struct EndedByStop {
    std::uint64_t notRun = 0;           ///< Refused, since no upstream had been sent them.
    std::uint64_t mayHaveRun = 0;       ///< Answered as failed.
    std::uint64_t streamsBrokenOff = 0; ///< Their answers had begun.
};

/// The requests that are being handled. Used from the gateway's thread.
class OpenRequests
{
public:
    /// Lists a request for as long as it lives.
    class Entry
    {
    public:
        /// Precondition: @p requests outlives the entry, and the entry does not outlive @p session.
        Entry(OpenRequests &requests, RequestSession &session);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

    private:
        OpenRequests &m_requests;
        RequestSession &m_session;
    };

    [[nodiscard]] std::size_t size() const;
    /// Tells all of them that the process is about to exit, so that they give their callers an answer now.
    void endAll();

private:
    std::set<RequestSession *> m_sessions;
};

}
