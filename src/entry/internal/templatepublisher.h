#pragma once

#include "entry/internal/logfollower.h"
#include "entry/internal/templatetable.h"
#include "entry/internal/upstreamdirectory.h"
#include "platform/iplatform.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rosemaryshift::entry {

enum class PublishVerdict : std::uint8_t {
    Accepted,
    Conflict,
    Invalid,
    PlatformDown, ///< Nothing was published.
    Unknown,      ///< The change may come into force yet; ask again by its change id.
};

struct PublishResult {
    PublishVerdict verdict = PublishVerdict::Unknown;
    std::uint64_t revision = 0;
    std::string reason;
};

/// A change as an operator hands it in.
struct PublishRequest {
    templates::TemplateChange change;
    std::string file; ///< Name of the template's file in messages.
};

/// Publishes changes of templates through the log. Not thread-safe; belongs to the control thread.
class TemplatePublisher
{
public:
    /// Keeps references to its arguments, which must live longer.
    TemplatePublisher(const TemplateTable &table, const UpstreamDirectory &upstreams, const LogFollower &follower, std::shared_ptr<platform::ILog> log);

    /// Publishes a change and answers once its own record was read back. A change whose verdict is known already gets it
    /// again and is not published twice.
    boost::asio::awaitable<PublishResult> publish(PublishRequest request);
    /// Checks a change as publish() would, without publishing it.
    [[nodiscard]] std::optional<PublishResult> check(const PublishRequest &request) const;
    /// Wakes the calls that wait for a change or a revision. To be called after each record or revision taken.
    void wakeWaiting();

private:
    [[nodiscard]] std::optional<PublishResult> knownResult(const templates::TemplateChange &change) const;
    [[nodiscard]] std::optional<PublishResult> validationErrors(const PublishRequest &request) const;
    [[nodiscard]] std::optional<PublishResult> baseConflict(const templates::TemplateChange &change) const;
    /// Waits until @p condition holds; false when it does not within @p timeout.
    boost::asio::awaitable<bool> awaitCondition(std::function<bool()> condition, std::chrono::milliseconds timeout);
    [[nodiscard]] std::uint64_t revisionOf(std::string_view workspace) const;

    const TemplateTable &m_table;
    const UpstreamDirectory &m_upstreams;
    const LogFollower &m_follower;
    const std::shared_ptr<platform::ILog> m_log;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_waitingTimers;
};

}
