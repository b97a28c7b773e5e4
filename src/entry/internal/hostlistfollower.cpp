#include "entry/internal/hostlistfollower.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;

namespace {

/// Longest time that the platform delays its answer while the list is unchanged.
constexpr std::chrono::milliseconds ListWait{2'000};
constexpr std::chrono::milliseconds RetryDelay{200};

}

HostListFollower::HostListFollower(std::shared_ptr<platform::IHostDirectory> directory, ListHandler listHandler, PollHandler pollHandler)
    : m_directory(std::move(directory))
    , m_listHandler(std::move(listHandler))
    , m_pollHandler(std::move(pollHandler))
{
}

void HostListFollower::connectPeers(membership::IMembership &membership, const std::shared_ptr<rpc::IPeerClient> &client, rpc::IPeerServer &server)
{
    m_membership = &membership;
    m_exchange = std::make_unique<HostListExchange>(client, server);
}

net::awaitable<void> HostListFollower::run()
{
    net::steady_timer delay(co_await net::this_coro::executor);
    std::uint64_t known = 0;
    while (true) {
        platform::PlatformFailure failure;
        const std::chrono::milliseconds wait = m_read ? ListWait : std::chrono::milliseconds(0);
        const std::optional<platform::HostList> list = co_await m_directory->list(known, wait, failure);
        if (list) {
            known = list->version;
            applyList(*list);
        } else if (!m_read) {
            co_await fetchFromPeer();
        }
        const bool ready = m_pollHandler();
        if (!list || !ready) {
            delay.expires_after(RetryDelay);
            co_await delay.async_wait(net::as_tuple(net::use_awaitable));
        }
    }
}

void HostListFollower::applyList(const platform::HostList &list)
{
    m_membership->updateHostList(list);
    m_exchange->setList(list);
    m_read = true;
    m_listHandler(list);
}

net::awaitable<void> HostListFollower::fetchFromPeer()
{
    const std::vector<membership::Peer> peers = m_membership->peers();
    for (const membership::Peer &peer : peers) {
        const std::optional<platform::HostList> list = co_await m_exchange->fetch(peer.peerEndpoint);
        if (list) {
            applyList(*list);
            co_return;
        }
    }
}

bool HostListFollower::hasRead() const
{
    return m_read;
}

}
