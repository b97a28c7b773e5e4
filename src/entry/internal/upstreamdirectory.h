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

/// An upstream that is leaving, as hosts tell each other.
struct LeavingUpstream {
    std::string name;
    http::Endpoint endpoint; ///< Tells the machine from a later one of the same name.
    std::chrono::milliseconds leavesIn{0};
};

struct UpstreamAddress {
    UpstreamId upstream;
    http::Endpoint endpoint;
};

/// The upstreams this host knows, from the platform's list. Turns changes of the list into events of the decision core.
/// Not thread-safe; belongs to the control thread.
class UpstreamDirectory
{
public:
    using EventSink = std::function<void(decisions::Event)>;

    UpstreamDirectory(std::string ownZone, std::shared_ptr<timeline::ITimeline> timeline, EventSink sink);

    /// Takes in a list read at @p now.
    void update(const platform::HostList &list, TimePoint now);
    /// Notes that @p upstream itself said that it leaves; holds until another machine takes its place.
    void markLeaving(UpstreamId upstream, std::chrono::milliseconds leavesIn, TimePoint now);
    /// Takes in that another host knows an upstream to be leaving; passed over when the upstream is not known or has another address here.
    void noteLeavingFromPeer(const LeavingUpstream &leaving, TimePoint now);
    /// Upstreams seen to be leaving so lately that peers may not know yet.
    [[nodiscard]] std::vector<LeavingUpstream> recentlyLeaving(TimePoint now) const;
    /// Where @p upstream listens.
    [[nodiscard]] const platform::ListedHost &host(UpstreamId upstream) const;
    /// Id of a model or service; made when it is new.
    TargetId target(std::string_view name);
    /// Number of entry hosts in the last list, this one included; at least 1.
    [[nodiscard]] std::size_t entryHosts() const;
    /// Where this host stands among the entry hosts of the last list, by which it counts itself in.
    [[nodiscard]] decisions::HostPlace place(std::string_view ownName) const;
    /// Where the live upstreams listen.
    [[nodiscard]] std::vector<UpstreamAddress> liveAddresses() const;
    /// Names of models that a live upstream serves.
    [[nodiscard]] std::set<std::string> liveTargets() const;
    /// All known upstreams with whether they are live.
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
        TimePoint goneAt{};       ///< Set while leaving.
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
    std::map<std::string, std::set<std::string>> m_entryHosts; ///< Names by availability zone.
};

}
