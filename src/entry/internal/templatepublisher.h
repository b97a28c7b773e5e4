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

/// Result of publishing a template change.
enum class PublishVerdict : std::uint8_t {
    Accepted,
    Conflict, ///< The change is not based on the revision in force.
    Invalid,
    PlatformDown, ///< The log is unavailable; nothing was published.
    Unknown,      ///< The change may still come into force; publish it again with the same change id to learn the result.
};

struct PublishResult {
    PublishVerdict verdict = PublishVerdict::Unknown;
    std::uint64_t revision = 0; ///< Revision in force after the decision; 0 when there is none or it is not known.
    std::string reason;
};

/// A template change submitted by an operator.
struct PublishRequest {
    templates::TemplateChange change;
    std::string file; ///< File name of the template, for error messages.
};

/// Publishes template changes through the log. Must be used on the control thread.
class TemplatePublisher
{
public:
    /// Precondition: @p table, @p upstreams and @p follower outlive the publisher.
    TemplatePublisher(const TemplateTable &table, const UpstreamDirectory &upstreams, const LogFollower &follower, std::shared_ptr<platform::ILog> log);

    /// Publishes a change and returns once its record was read back from the log. A change that was decided before gets the
    /// same result and is not published again.
    boost::asio::awaitable<PublishResult> publish(PublishRequest request);
    /// Validates a change as publish() would, without publishing it; nothing when it is valid.
    [[nodiscard]] std::optional<PublishResult> check(const PublishRequest &request) const;
    /// Wakes the calls of publish() that wait for a change or a revision. Must be called after each record or revision applied.
    void wakeWaiting();

private:
    [[nodiscard]] std::optional<PublishResult> knownResult(const templates::TemplateChange &change) const;
    [[nodiscard]] std::optional<PublishResult> validationErrors(const PublishRequest &request) const;
    [[nodiscard]] std::optional<PublishResult> baseConflict(const templates::TemplateChange &change) const;
    /// Waits until @p condition is true; returns false when it is still false after @p timeout.
    boost::asio::awaitable<bool> awaitCondition(std::function<bool()> condition, std::chrono::milliseconds timeout);
    [[nodiscard]] std::uint64_t revisionOf(std::string_view workspace) const;

    const TemplateTable &m_table;
    const UpstreamDirectory &m_upstreams;
    const LogFollower &m_follower;
    const std::shared_ptr<platform::ILog> m_log;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_waitingTimers;
};

}
