#pragma once

#include "platform/platformtypes.h"
#include "rpc/ipeerrpc.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace rosemaryshift::entry {

/// Serves the latest host list to peers and fetches theirs, so that a host can start while the platform's host list is
/// unavailable. Must be used on the control thread.
class HostListExchange
{
public:
    HostListExchange(std::shared_ptr<rpc::IPeerClient> client, rpc::IPeerServer &server);

    /// Sets the list to be served to peers.
    void setList(const platform::HostList &list);
    /// Fetches the list of the peer that listens at @p peer; nothing when it has none or does not answer.
    boost::asio::awaitable<std::optional<platform::HostList>> fetch(http::Endpoint peer);

private:
    const std::shared_ptr<rpc::IPeerClient> m_client;
    std::optional<platform::HostList> m_list;
};

}
