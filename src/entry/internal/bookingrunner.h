#pragma once

#include "bookings/ibookingcoordinator.h"
#include "entry/internal/requesttelemetry.h"
#include "entry/internal/waketimer.h"
#include "platform/iplatform.h"
#include "requests/requestregistry.h"
#include "timeline/itimeline.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// Objects that the booking runner shares with the rest of the host.
struct BookingDependencies {
    std::shared_ptr<requests::RequestRegistry> registry;
    std::shared_ptr<timeline::ITimeline> timeline;
    std::shared_ptr<platform::ILog> log;
    RequestTelemetry &telemetry;
};

/// Performs the actions of the booking coordinator: appends to the log, dispatches bookings and answers callers. Must be
/// used on the control thread, except for the methods marked thread-safe.
class BookingRunner
{
public:
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;
    /// Runs a booking; handleRunEnded() must be called when it has ended.
    using DispatchCallback = std::function<void(const RecordPtr &record)>;

    BookingRunner(boost::asio::io_context &control, BookingDependencies dependencies, const bookings::BookingPolicy &policy, DispatchCallback dispatch);

    /// Accepts a request that must not be executed twice.
    void accept(const RecordPtr &record);
    /// Handles the end of a dispatched booking. @p run tells whether it was executed when @p record holds no answer.
    void handleRunEnded(const requests::RequestRecord &record, RunState run);
    /// Handles a record of the log; returns false when it is not a booking record.
    bool handleRecord(const platform::LogRecord &record);
    /// Handles the new read position in the log.
    void handleLogRead(const bookings::LogRead &read);
    /// Handles the loss of records before offset @p oldest, which the log dropped before this host read them.
    void handleLogGap(std::uint64_t oldest);
    /// Sets the number of live entry hosts, including this one.
    void setEntryHostCount(std::uint32_t hosts);
    /// Outcome of the booking with the key digest @p key; nothing when this host knows of none.
    [[nodiscard]] std::optional<bookings::Outcome> outcomeOf(std::string_view key) const;
    /// Number of bookings that wait to be dispatched or answered, plus the records still to be appended while the log accepts
    /// appends. Thread-safe.
    [[nodiscard]] std::size_t pendingCount() const;

private:
    void run(bookings::BookingEvent event);
    void tick();
    void perform(const bookings::AppendRecords &action);
    void perform(const bookings::DispatchBooking &action);
    void perform(const bookings::AnswerBooking &action);
    void perform(const bookings::RefuseBooking &action);
    void perform(const bookings::ReportBookingStep &action);
    boost::asio::awaitable<void> append(std::uint64_t batch, std::vector<std::string> records);

    boost::asio::io_context &m_context;
    const BookingDependencies m_dependencies;
    const std::string m_owner;
    const DispatchCallback m_dispatch;
    const std::unique_ptr<bookings::IBookingCoordinator> m_coordinator;
    WakeTimer m_wakeTimer;
    bool m_logWritable = true;
    std::atomic<std::size_t> m_pendingCount = 0;
};

}
