#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace rosemaryshift::gateway {

/// Runs a read on behalf of all coroutines that need a result which is not older than their call. Reads never overlap, and callers that wait at the
/// same time share one. Used from the gateway's thread.
class SharedRead
{
public:
    /// Performs the read. Returns whether it succeeded.
    using Read = std::function<boost::asio::awaitable<bool>()>;

    explicit SharedRead(Read read);

    /// Returns whether a read that began after this call succeeded.
    boost::asio::awaitable<bool> run();

private:
    const Read m_read;
    std::optional<boost::asio::steady_timer> m_ended; ///< Never expires; cancelled at the end of each read.
    std::uint64_t m_begunReads = 0;
    std::uint64_t m_endedReads = 0;
    bool m_succeeded = false; ///< Result of the last read that has ended.
};

}
