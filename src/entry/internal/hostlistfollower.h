#pragma once

#include "entry/internal/hostlistexchange.h"
#include "membership/imembership.h"
#include "platform/iplatform.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// Reads the platform's host list, and before its first reading, while the platform is out, the list of a peer.
/// Belongs to the control thread.
class HostListFollower
{
public:
    using ListHandler = std::function<void(const platform::HostList &list)>;
    /// Called after each try; true once the host is ready, so that the list may be waited for.
    using PollHandler = std::function<bool()>;

    HostListFollower(std::shared_ptr<platform::IHostDirectory> directory, ListHandler listHandler, PollHandler pollHandler);

    /// Makes the peers known. Precondition: called once, before run().
    void connectPeers(membership::IMembership &membership, const std::shared_ptr<rpc::IPeerClient> &client, rpc::IPeerServer &server);
    /// Follows the list for ever.
    boost::asio::awaitable<void> run();
    /// True once a list was read.
    [[nodiscard]] bool hasRead() const;

private:
    void applyList(const platform::HostList &list);
    boost::asio::awaitable<void> fetchFromPeer();

    const std::shared_ptr<platform::IHostDirectory> m_directory;
    const ListHandler m_listHandler;
    const PollHandler m_pollHandler;
    membership::IMembership *m_membership = nullptr;
    std::unique_ptr<HostListExchange> m_exchange;
    bool m_read = false;
};

}
