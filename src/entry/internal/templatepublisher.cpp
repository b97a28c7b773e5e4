#include "entry/internal/templatepublisher.h"

#include "templates/templatechecks.h"
#include "templates/templaterecords.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using templates::ChangeResult;
using templates::ChangeVerdict;
using templates::TemplateChange;
using templates::TemplateRevision;

namespace {

/// Longest wait for a change to be read back from the log after it was appended.
constexpr std::chrono::milliseconds ResultTimeout{10'000};
/// Longest wait for the revision on which a change is based, which this host may not have read yet.
constexpr std::chrono::milliseconds BaseTimeout{2'000};

PublishResult toPublishResult(const ChangeResult &result)
{
    switch (result.verdict) {
    case ChangeVerdict::Accepted:
        return {PublishVerdict::Accepted, result.revision, {}};
    case ChangeVerdict::Conflict:
        return {PublishVerdict::Conflict, result.revision, result.reason};
    case ChangeVerdict::Invalid:
        break;
    }
    return {PublishVerdict::Invalid, result.revision, result.reason};
}

std::string joinedText(const std::vector<SettingsError> &errors)
{
    std::string text;
    for (const SettingsError &error : errors) {
        text += text.empty() ? "" : "\n";
        text += error.text();
    }
    return text;
}

}

TemplatePublisher::TemplatePublisher(const TemplateTable &table,
                                     const UpstreamDirectory &upstreams,
                                     const LogFollower &follower,
                                     std::shared_ptr<platform::ILog> log)
    : m_table(table)
    , m_upstreams(upstreams)
    , m_follower(follower)
    , m_log(std::move(log))
{
}

net::awaitable<PublishResult> TemplatePublisher::publish(PublishRequest request)
{
    const TemplateChange &change = request.change;
    const std::optional<PublishResult> known = knownResult(change);
    if (known) {
        co_return *known;
    }
    if (!m_follower.reachable() || !m_follower.caughtUp()) {
        co_return PublishResult{PublishVerdict::PlatformDown, 0, "the platform's log cannot be read; nothing was published"};
    }
    std::function<bool()> baseSeen = [&] { return revisionOf(change.workspace) >= change.base; };
    co_await awaitCondition(std::move(baseSeen), BaseTimeout);
    const std::optional<PublishResult> refusal = check(request);
    if (refusal) {
        co_return *refusal;
    }
    platform::PlatformFailure failure;
    std::vector<std::string> records{templates::toRecord(change)};
    const std::optional<std::uint64_t> offset = co_await m_log->append(std::move(records), failure);
    if (!offset && failure.error == platform::PlatformError::Unreachable) {
        co_return PublishResult{PublishVerdict::PlatformDown, 0, failure.detail + "; nothing was published"};
    }
    std::function<bool()> decided = [&] { return m_table.fold().resultOf(change.changeId).has_value(); };
    if (!co_await awaitCondition(std::move(decided), ResultTimeout)) {
        co_return PublishResult{PublishVerdict::Unknown, 0, "the log's answer was lost and the change was not read back: " + failure.detail};
    }
    co_return toPublishResult(*m_table.fold().resultOf(change.changeId));
}

/// Result of a change that was decided before. A different change with the same id is invalid.
std::optional<PublishResult> TemplatePublisher::knownResult(const TemplateChange &change) const
{
    const std::optional<ChangeResult> known = m_table.fold().resultOf(change.changeId);
    if (!known) {
        return std::nullopt;
    }
    for (const templates::StatedRevision &kept : m_table.fold().history(change.workspace)) {
        if (kept.changeId == change.changeId && kept.text != change.text) {
            return PublishResult{PublishVerdict::Invalid, 0, "change " + change.changeId + " is another change, revision " + std::to_string(kept.revision)};
        }
    }
    return toPublishResult(*known);
}

std::optional<PublishResult> TemplatePublisher::check(const PublishRequest &request) const
{
    std::optional<PublishResult> errors = validationErrors(request);
    return errors ? errors : baseConflict(request.change);
}

std::optional<PublishResult> TemplatePublisher::validationErrors(const PublishRequest &request) const
{
    std::vector<SettingsError> errors;
    const std::optional<templates::WorkspaceTemplate> content = templates::parseTemplate(request.change.text, request.file, errors);
    if (content && content->workspace != request.change.workspace) {
        return PublishResult{PublishVerdict::Invalid, 0, request.file + ": the template names workspace " + content->workspace};
    }
    if (content) {
        errors = templates::checkAgainstFleet(*content, request.file, m_table.fold(), {m_upstreams.liveTargets(), m_upstreams.entryHostCount()});
    }
    if (errors.empty()) {
        return std::nullopt;
    }
    return PublishResult{PublishVerdict::Invalid, 0, joinedText(errors)};
}

std::optional<PublishResult> TemplatePublisher::baseConflict(const TemplateChange &change) const
{
    const TemplateRevision *const current = m_table.fold().inForce(change.workspace);
    const std::uint64_t revision = revisionOf(change.workspace);
    if (change.base == revision) {
        return std::nullopt;
    }
    std::string reason = "made on revision " + std::to_string(change.base) + ", but on this host revision " + std::to_string(revision);
    reason += current == nullptr ? std::string() : " by " + current->stated.author + " (change " + current->stated.changeId + ")";
    return PublishResult{PublishVerdict::Conflict, revision, reason + " is in force"};
}

std::uint64_t TemplatePublisher::revisionOf(std::string_view workspace) const
{
    const TemplateRevision *const current = m_table.fold().inForce(workspace);
    return current == nullptr ? 0 : current->stated.revision;
}

net::awaitable<bool> TemplatePublisher::awaitCondition(std::function<bool()> condition, std::chrono::milliseconds timeout)
{
    const std::shared_ptr<net::steady_timer> timer = std::make_shared<net::steady_timer>(co_await net::this_coro::executor);
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + timeout;
    m_waitingTimers.insert(timer);
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        timer->expires_at(deadline);
        co_await timer->async_wait(net::as_tuple(net::use_awaitable));
    }
    m_waitingTimers.erase(timer);
    co_return condition();
}

void TemplatePublisher::wakeWaiting()
{
    for (const std::shared_ptr<net::steady_timer> &timer : m_waitingTimers) {
        timer->cancel();
    }
}

}
