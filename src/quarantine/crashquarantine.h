#pragma once

#include "base/types.h"
#include "ports/messages.h"
#include "quarantine/internal/answerhistory.h"
#include "quarantine/internal/presencehistory.h"
#include "quarantine/quarantinetypes.h"
#include "quarantine/suspectrecords.h"

#include <deque>
#include <functional>
#include <map>
#include <span>

namespace rosemaryshift::quarantine {

/// Finds requests that crash each upstream which runs them, by parts of their prompts and by equal requests, and keeps them away from the upstreams.
///
/// A crash breaks all requests in progress, so a single one does not tell which request caused it. A suspect, which is a prompt part or all requests
/// that are equal, is quarantined when several crashes hit requests of it, none of them was answered completely in between, and this is no
/// coincidence. Either of two comparisons shows this: the share of other requests of the service that broke in that time does not explain it; or the suspect
/// was in progress at far more of the service's crashes than the time for which it was in progress at the upstreams explains, however many answers the
/// crashes broke and however many causes they have. For the first one, equal requests must also have been in progress at most of the crashes of the service;
/// when they were at nearly all of them, that suffices, since hardly any other request is answered while all upstreams of a service are down.
///
/// The hosts pool what they know by SuspectReport. After a time that grows with the number of failed trials, one host sends a single request as a
/// trial; a complete answer to any request of the suspect releases it on all hosts. When several suspects came together in all crashes, a request
/// with only some of them is a trial at once, at any host. The current time is passed to each call. Not thread-safe.
class CrashQuarantine
{
public:
    /// Called with a suspect, its change and the number of crashes known.
    using Listener = std::function<void(SuspectId suspect, SuspectChange change, std::size_t crashes)>;

    explicit CrashQuarantine(Listener listener);

    /// Sets the name of this host and those of the other hosts that are heard; the trials of each suspect are made by one of them.
    void setHosts(std::string own, std::vector<std::string> others);
    /// Sets how far apart the reports of each other host are. It grows with the number of hosts, and with it the time for which evidence is gathered.
    void setReportInterval(Duration interval);
    /// Records that the connection to @p instance broke after a request was sent to it, at @p since, and before its answer was complete.
    void noteBroken(const RequestTraits &request, std::string_view instance, TimePoint since, TimePoint now);
    /// Records that a request to @p service was in progress at @p instance from @p since until @p now, however it ended.
    void notePresence(std::string_view service, std::string_view instance, TimePoint since, TimePoint now);
    /// Records that a request was answered completely, with whatever status: its upstream did not crash.
    void noteCompleted(const RequestTraits &request, TimePoint now);
    /// Admits a request to the upstreams, also as a trial. Returns nothing when it may be sent.
    [[nodiscard]] std::optional<Rejection> admit(const RequestTraits &request, TimePoint now);
    /// Quarantines and releases suspects whose time has come. Precondition: called at least once a second.
    void update(TimePoint now);

    /// What to send to the other hosts, the strongest evidence first; bounded in size.
    [[nodiscard]] std::vector<SuspectReport> reports(TimePoint now) const;
    /// Merges what another host has sent.
    void apply(std::span<const SuspectReport> reports, TimePoint now);

    /// The suspects in quarantine.
    [[nodiscard]] std::vector<SuspectId> suspectsInQuarantine() const;
    /// Those of them that @p request belongs to.
    [[nodiscard]] std::vector<SuspectId> suspectsInQuarantine(const RequestTraits &request) const;
    /// What has to outlive this host of a suspect in quarantine; nothing when it is not in quarantine.
    [[nodiscard]] std::optional<VerdictRecord> verdict(SuspectId id, TimePoint now) const;
    /// Whether this host saw one of the known crashes of a suspect itself.
    [[nodiscard]] bool observedCrash(SuspectId id) const;
    /// What has to outlive this host of the suspects that are not in quarantine, for crashes that it saw itself; bounded in size.
    [[nodiscard]] EvidenceRecord evidence(TimePoint now) const;
    /// Merges a record that was written @p age ago, by an earlier process or by another host. A verdict is in force at once; evidence counts towards one only
    /// after the time for which this host has observed the answers itself. What running hosts hear of each other comes by apply().
    void restore(const VerdictRecord &record, Duration age, TimePoint now);
    void restore(const EvidenceRecord &record, Duration age, TimePoint now);
    /// Number of suspects of this @p kind in quarantine.
    [[nodiscard]] std::size_t quarantined(SuspectKind kind) const;

private:
    struct Crash {
        std::string instance;
        TimePoint at;
        std::optional<Duration> present; ///< Time for which a request of the suspect had been in progress there, as far as is known.
        bool observedHere = false;       ///< This host saw it itself.
        bool restored = false;           ///< Known by a record alone, whose time may be wrong by seconds.
    };
    struct Suspect {
        std::string service;        ///< Of the last request that was noted.
        std::vector<Crash> crashes; ///< The latest ones of different upstreams or at different times, since the last complete answer; oldest first.
        TimePoint firstCrashAt;     ///< Since the last complete answer. Only valid when there are crashes.
        std::optional<TimePoint> completedAt;
        std::optional<TimePoint> lastTrial;
        bool trialUntold = false;   ///< The last trial stands in a record that does not tell what came of it; it counts as failed.
        bool completedHere = false; ///< This host passed on a complete answer.
        bool quarantined = false;
        std::size_t crashesWhenQuarantined = 0;
    };

    /// Whether @p a and @p b are the same crash, as seen by one or two hosts.
    static bool sameCrash(const Crash &a, const Crash &b);
    /// Adds a crash unless it is known already or came before a complete answer.
    static void addCrash(Suspect &suspect, Crash crash);
    static void insertCrash(Suspect &suspect, Crash crash);
    /// The crashes of a suspect to send to the other hosts, latest first.
    [[nodiscard]] std::vector<CrashReport> reportedCrashes(const Suspect &suspect, TimePoint now) const;
    /// The latest crashes of a suspect, for its record.
    static std::vector<CrashReport> latestCrashes(const Suspect &suspect, TimePoint now);
    /// Adds the crashes of a suspect in a record that was written @p age ago.
    void restoreCrashes(Suspect &suspect, const SuspectReport &report, Duration age, TimePoint now);
    /// Time for which complete answers to requests of a suspect would have been seen, since its first crash.
    [[nodiscard]] Duration observedTime(const Suspect &suspect, TimePoint now) const;
    /// Time for which a complete answer is reported, and clears crashes that are reported later.
    [[nodiscard]] Duration completionLifetime() const;
    /// The suspects that a request belongs to, whether they are known or not.
    static std::vector<SuspectId> suspectsOf(const RequestTraits &request);
    /// Whether a quarantined suspect that is not among @p own came with the suspected one in each of its crashes.
    [[nodiscard]] bool isExplainedByOther(const Suspect &suspect, std::span<const SuspectId> own) const;
    /// Clears the crashes up to a complete answer @p at that time; releases the suspect when too few remain.
    void complete(SuspectId id, Suspect &suspect, TimePoint at);
    /// Quarantines the suspect when its crashes are unlikely to be a coincidence.
    void judge(SuspectId id, Suspect &suspect, TimePoint now);
    void quarantine(SuspectId id, Suspect &suspect);
    /// Whether the other requests of the service broke so rarely that the crashes of @p suspect are no coincidence, and its presence does not contradict it.
    [[nodiscard]] bool isUnlikelyCoincidence(const Suspect &suspect, TimePoint now) const;
    /// The crashes of the suspect's service by upstream, from its first one on, which made it a suspect and is left out. Precondition: it has crashes.
    [[nodiscard]] std::map<std::string_view, std::size_t> laterCrashes(const Suspect &suspect) const;
    /// Probability that a suspect which causes no crash met as many of the crashes of its service, given the time for which it had been in progress at its
    /// upstreams; nothing when that is not known.
    [[nodiscard]] std::optional<double> coincidence(const Suspect &suspect) const;
    /// Whether the suspect met so many of the crashes of its service that the time for which it had been in progress there does not explain it.
    [[nodiscard]] bool isPresentTooOften(const Suspect &suspect, TimePoint now) const;
    /// Whether equal requests were in progress at so many of the crashes of their service since their first one that they cause them.
    [[nodiscard]] bool isCauseOfCrashes(const Suspect &suspect, bool unlikelyCoincidence, Duration observed) const;
    /// Adds a crash to those of the service, unless it is known already.
    void noteServiceCrash(const std::string &service, const Crash &crash);
    /// Time after the last crash until the first trial, or the next one.
    static Duration holdTime(SuspectId id, const Suspect &suspect);
    /// Bounds the number of suspects; those in quarantine and those with the latest crashes are kept.
    void limitSuspects();
    /// Whether this host is the one that makes the trials of a suspect.
    [[nodiscard]] bool makesTrials(SuspectId id) const;

    /// The shortest interval between two reports of a host.
    static constexpr Duration ShortestReportInterval = std::chrono::milliseconds(400);

    const Listener m_listener;
    Duration m_reportInterval = ShortestReportInterval;
    TimePoint m_restoredAt; ///< When evidence was last restored.
    std::string m_ownHost;
    std::vector<std::string> m_otherHosts;
    std::map<std::string, AnswerHistory, std::less<>> m_answers;    ///< By service.
    std::map<std::string, PresenceHistory, std::less<>> m_presence; ///< Of all requests of this host, by service.
    std::map<std::string, std::deque<Crash>> m_crashes;             ///< The latest crashes of each service's upstreams, whichever request they hit.
    std::map<SuspectId, Suspect> m_suspects;
};

}
