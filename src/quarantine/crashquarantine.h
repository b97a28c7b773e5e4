#pragma once

#include "base/types.h"
#include "ports/messages.h"
#include "quarantine/internal/answerhistory.h"
#include "quarantine/quarantinetypes.h"

#include <functional>
#include <map>
#include <span>

namespace rosemaryshift::quarantine {

/// Finds prompt parts that crash each upstream which answers a request with them, and keeps such requests away from the upstreams.
///
/// A crash breaks all answers in progress, so a single one does not tell which request caused it. A part is quarantined when several crashes broke
/// answers to requests with it, no such request was answered completely in between, and the share of other answers that broke in that time does not
/// explain this. The hosts pool what they know by SuspectReport. After a time that grows with the number of crashes, one host sends a single request as
/// a trial; a complete answer to any request with the part releases it on all hosts. When several parts came together in all crashes, a request with
/// only some of them is a trial at once, at any host. The current time is passed to each call. Not thread-safe.
class CrashQuarantine
{
public:
    /// Called with the id of a part, its change and the number of crashes known.
    using Listener = std::function<void(std::uint64_t part, SuspectChange change, std::size_t crashes)>;

    explicit CrashQuarantine(Listener listener);

    /// Sets the name of this host and those of the other hosts that are heard; the trials of each part are made by one of them.
    void setHosts(std::string own, std::vector<std::string> others);
    /// Records that @p instance broke off an answer that it had begun. @p parts: the parts of the prompt that other requests may have, too.
    void noteBroken(std::span<const ports::PromptPart> parts, std::string_view instance, TimePoint now);
    /// Records that a request whose prompt has @p parts was answered completely.
    void noteCompleted(std::span<const ports::PromptPart> parts, TimePoint now);
    /// Admits a request whose prompt has @p parts to the upstreams, also as a trial. Returns nothing when it may be sent, else the time to wait.
    [[nodiscard]] std::optional<Duration> admit(std::span<const ports::PromptPart> parts, TimePoint now);
    /// Quarantines and releases parts whose time has come. Precondition: called at least once a second.
    void update(TimePoint now);

    /// What to send to the other hosts, the strongest evidence first; bounded in size.
    [[nodiscard]] std::vector<SuspectReport> reports(TimePoint now) const;
    /// Merges what another host has sent.
    void apply(std::span<const SuspectReport> reports, TimePoint now);
    /// Number of parts in quarantine.
    [[nodiscard]] std::size_t quarantinedParts() const;

private:
    struct Crash {
        std::string instance;
        TimePoint at;
        bool observedHere = false; ///< This host saw it itself.
    };
    struct Suspect {
        std::vector<Crash> crashes; ///< Of different upstreams or at different times, since the last complete answer; oldest first.
        std::optional<TimePoint> completedAt;
        std::optional<TimePoint> lastTrial;
        bool completedHere = false; ///< This host passed on a complete answer.
        bool quarantined = false;
    };

    /// Whether @p a and @p b are the same crash, as seen by one or two hosts.
    static bool sameCrash(const Crash &a, const Crash &b);
    /// Adds a crash unless it is known already or came before a complete answer.
    static void addCrash(Suspect &suspect, Crash crash);
    /// The crashes of a suspect to send to the other hosts, latest first.
    static std::vector<CrashReport> reportedCrashes(const Suspect &suspect, TimePoint now);
    /// Whether a quarantined part that is not among @p parts came with the suspected one in each of its crashes.
    [[nodiscard]] bool isExplainedByOtherPart(const Suspect &suspect, std::span<const ports::PromptPart> parts) const;
    /// Clears the crashes up to a complete answer @p at that time; releases the part when too few remain.
    void complete(std::uint64_t part, Suspect &suspect, TimePoint at);
    /// Quarantines the part when its crashes are unlikely to be a coincidence.
    void judge(std::uint64_t part, Suspect &suspect, TimePoint now);
    /// Bounds the number of suspects; those in quarantine and those with the latest crashes are kept.
    void limitSuspects();
    /// Whether this host is the one that makes the trials of @p part.
    [[nodiscard]] bool makesTrials(std::uint64_t part) const;

    const Listener m_listener;
    std::string m_ownHost;
    std::vector<std::string> m_otherHosts;
    AnswerHistory m_answers;
    std::map<std::uint64_t, Suspect> m_suspects;
};

}
