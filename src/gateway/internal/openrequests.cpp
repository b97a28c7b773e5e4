#include "gateway/internal/openrequests.h"

#include "gateway/internal/requestsession.h"

namespace rosemaryshift::gateway {

OpenRequests::Entry::Entry(OpenRequests &requests, RequestSession &session)
    : m_requests(requests)
    , m_session(session)
{
    m_requests.m_sessions.insert(&m_session);
}

OpenRequests::Entry::~Entry()
{
    m_requests.m_sessions.erase(&m_session);
}

std::size_t OpenRequests::size() const
{
    return m_sessions.size();
}

void OpenRequests::endAll()
{
    for (RequestSession *const session : m_sessions) {
        session->endByStop();
    }
}

}
