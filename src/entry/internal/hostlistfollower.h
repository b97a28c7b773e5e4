#pragma once

#include "entry/internal/hostlistexchange.h"
#include "membership/imembership.h"
#include "platform/iplatform.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// Follows the platform's host list. Until the first list has been read, falls back to a peer's list when the platform does not
/// answer. Must be used on the control thread.
class HostListFollower
{
public:
    using ListHandler = std::function<void(const platform::HostList &list)>;
    /// Called after each poll; returns whether the host is ready. Until it is, the next poll starts after a fixed delay even if
    /// the last one succeeded.
    using PollHandler = std::function<bool()>;

    HostListFollower(std::shared_ptr<platform::IHostDirectory> directory, ListHandler listHandler, PollHandler pollHandler);

    /// Sets the membership and the connections to peers. Precondition: called once, before run().
    void connectPeers(membership::IMembership &membership, const std::shared_ptr<rpc::IPeerClient> &client, rpc::IPeerServer &server);
    /// Follows the list; never returns.
    boost::asio::awaitable<void> run();
    /// True once a list was read from the platform or a peer.
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
