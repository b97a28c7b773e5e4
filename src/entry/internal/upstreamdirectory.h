#pragma once

#include "decisions/decisiontypes.h"
#include "decisions/limitsplit.h"
#include "entry/internal/nametable.h"
#include "platform/platformtypes.h"
#include "timeline/itimeline.h"

#include <functional>
#include <map>
#include <set>

namespace rosemaryshift::entry {

/// An upstream that is leaving, as announced among entry hosts.
struct LeavingUpstream {
    std::string name;
    http::Endpoint endpoint; ///< Distinguishes the machine from a later one with the same name.
    std::chrono::milliseconds leavesIn{0};
};

struct UpstreamAddress {
    UpstreamId upstream;
    http::Endpoint endpoint;
};

/// Upstreams and entry hosts from the platform's host list. Converts changes of the list to events of the decision core.
/// Must be used on the control thread.
class UpstreamDirectory
{
public:
    using EventSink = std::function<void(decisions::Event)>;

    UpstreamDirectory(std::string ownZone, std::shared_ptr<timeline::ITimeline> timeline, EventSink sink);

    /// Applies a list that was read at @p now.
    void update(const platform::HostList &list, TimePoint now);
    /// Marks @p upstream as leaving because it said so itself; applies until a machine with another address replaces it.
    void markLeaving(UpstreamId upstream, std::chrono::milliseconds leavesIn, TimePoint now);
    /// Marks an upstream as leaving because a peer said so. Ignored when the upstream is unknown here or has another address.
    void noteLeavingFromPeer(const LeavingUpstream &leaving, TimePoint now);
    /// Upstreams that began to leave so recently that peers may not know of it.
    [[nodiscard]] std::vector<LeavingUpstream> recentlyLeaving(TimePoint now) const;
    /// The row of @p upstream in the host list. Precondition: it was listed once.
    [[nodiscard]] const platform::ListedHost &host(UpstreamId upstream) const;
    /// Id of the model or service @p name; assigned when the name is new.
    TargetId target(std::string_view name);
    /// Number of entry hosts in the last list, including this one; at least 1.
    [[nodiscard]] std::size_t entryHostCount() const;
    /// Rank of this host among the entry hosts of the last list; counts this host even if it is not listed.
    [[nodiscard]] decisions::HostPosition hostPosition(std::string_view ownName) const;
    /// Addresses of the live upstreams.
    [[nodiscard]] std::vector<UpstreamAddress> liveAddresses() const;
    /// Names of the models and services that live upstreams serve.
    [[nodiscard]] std::set<std::string> liveTargets() const;
    /// All upstreams that are live or leaving, with whether each is live.
    [[nodiscard]] std::vector<std::pair<platform::ListedHost, bool>> upstreams() const;

private:
    enum class State : std::uint8_t {
        Live,
        Leaving,
        Gone,
    };
    struct Row {
        platform::ListedHost host;
        State state = State::Gone;
        TimePoint leavingSince{}; ///< Set while leaving.
        TimePoint goneAt{};       ///< Announced time of the end; set while leaving.
    };

    void updateUpstream(const platform::ListedHost &host, TimePoint now);
    void postListed(UpstreamId id, const platform::ListedHost &host);
    void startLeaving(UpstreamId id, std::chrono::milliseconds leavesIn, TimePoint now);
    void markMissingGone(const std::set<std::string> &present);

    const std::string m_ownZone;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const EventSink m_sink;
    NameTable<UpstreamId> m_upstreamNames;
    NameTable<TargetId> m_targetNames;
    NameTable<ZoneId> m_zoneNames;
    std::map<UpstreamId, Row> m_rows;
    std::map<std::string, std::set<std::string>> m_entryHosts; ///< Names of entry hosts by availability zone.
};

}
