#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/sharedread.h"
#include "gateway/internal/suspectlog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rosemaryshift::gateway {

/// Keeps in the platform's log what is known of requests that crash upstreams, so that it outlives all hosts: a record for each suspect in quarantine, and
/// one for each host with its evidence against others. A trial is recorded before it is sent, by a conditional append, so that no two hosts make it and none
/// is made again. Used from the gateway's thread.
class SuspectRecorder
{
public:
    SuspectRecorder(GatewayContext &context, const boost::asio::any_io_executor &executor);

    /// Reads the records and then writes them until the process ends; never returns.
    boost::asio::awaitable<void> run();
    /// Whether the records have been read since the process started; no request may be sent to an upstream before.
    [[nodiscard]] bool recordsRead() const;
    /// Waits for a read if they have not been read. Returns whether they have been read.
    boost::asio::awaitable<bool> awaitRecords();
    /// Notes that this host has seen an upstream crash.
    void noteCrash();
    /// Notes that the verdict on a suspect has changed.
    void noteVerdict(quarantine::SuspectId suspect);
    /// Records a trial of @p suspects, which is about to be sent. Returns false when it must not be sent: another host has recorded one, or the log can't be
    /// written to. Precondition: they are in quarantine.
    boost::asio::awaitable<bool> recordTrial(std::vector<quarantine::SuspectId> suspects);

private:
    boost::asio::awaitable<bool> readAll();
    /// Appends what is due.
    boost::asio::awaitable<void> write(TimePoint now);
    boost::asio::awaitable<bool> writeEvidence(TimePoint now);
    /// Brings the records of @p suspects up to date. @p observer: this host has seen what they are to say, so that it does not look whether another one has
    /// written it.
    boost::asio::awaitable<bool> writeVerdicts(std::vector<quarantine::SuspectId> suspects, bool observer);
    /// Has everything written again if the log was restored from a copy since the last call.
    void noteRestoredLog(TimePoint now);
    /// Schedules the records that differ from what was written last.
    void schedule(TimePoint now);
    [[nodiscard]] Duration writeInterval() const;

    GatewayContext &m_context;
    SuspectLog m_log;
    SharedRead m_reader;
    boost::asio::steady_timer m_wakeup;
    bool m_recordsRead = false;
    std::uint64_t m_notedRises = 0;                            ///< LogEraTracker::rises() at the last noteRestoredLog().
    std::map<quarantine::SuspectId, std::uint64_t> m_recorded; ///< Suspects whose verdict is recorded, as far as this host knows, and its progress.
    std::map<quarantine::SuspectId, TimePoint> m_due;          ///< When the record of a suspect is to be brought up to date.
    std::set<quarantine::SuspectId> m_recordedEvidence;        ///< Suspects in the last record of this host's evidence.
    std::optional<TimePoint> m_evidenceDue;                    ///< When the evidence is to be written.
    TimePoint m_evidenceWrittenAt;
};

}
