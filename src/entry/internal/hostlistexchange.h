#pragma once

#include "platform/platformtypes.h"
#include "rpc/ipeerrpc.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace rosemaryshift::entry {

/// Lets a host that starts while the platform's host list is out take the last list that a peer read. Belongs to the
/// control thread.
class HostListExchange
{
public:
    HostListExchange(std::shared_ptr<rpc::IPeerClient> client, rpc::IPeerServer &server);

    /// Keeps the list that peers are given.
    void setList(const platform::HostList &list);
    /// The list of the peer at @p peer; nothing when it has none or does not answer.
    boost::asio::awaitable<std::optional<platform::HostList>> fetch(http::Endpoint peer);

private:
    const std::shared_ptr<rpc::IPeerClient> m_client;
    std::optional<platform::HostList> m_list;
};

}
