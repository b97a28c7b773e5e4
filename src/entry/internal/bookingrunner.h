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

/// What the runner of bookings shares with the rest of the host.
struct BookingDependencies {
    std::shared_ptr<requests::RequestRegistry> registry;
    std::shared_ptr<timeline::ITimeline> timeline;
    std::shared_ptr<platform::ILog> log;
    RequestTelemetry &telemetry;
};

/// Carries out what the booking coordinator decides: appends to the log, dispatches and answers callers. Belongs to the
/// control thread, but for the methods marked thread-safe.
class BookingRunner
{
public:
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;
    /// Runs a booking; handleRunEnded() has to follow.
    using DispatchCallback = std::function<void(const RecordPtr &record)>;

    BookingRunner(boost::asio::io_context &control, BookingDependencies dependencies, const bookings::BookingPolicy &policy, DispatchCallback dispatch);

    /// Takes in a request that may not be repeated.
    void accept(const RecordPtr &record);
    /// Takes in a dispatched booking's end. @p run is what is known when the record holds no answer.
    void handleRunEnded(const requests::RequestRecord &record, RunState run);
    /// Takes in a record of the log; false when it is not about bookings.
    bool handleRecord(const platform::LogRecord &record);
    /// Notes how far the log was read.
    void handleLogRead(const bookings::LogRead &read);
    /// Notes that the log has dropped unread records.
    void handleLogGap(std::uint64_t oldest);
    /// Sets the number of live entry hosts, this one included.
    void setEntryHostCount(std::uint32_t hosts);
    /// How the booking under @p key handleRunEnded, if the log says so.
    [[nodiscard]] std::optional<bookings::Outcome> outcomeOf(std::string_view key) const;
    /// Requests that wait here for their answer, and records to be appended while the log takes them. Thread-safe.
    [[nodiscard]] std::size_t pendingCount() const;

private:
    void run(bookings::BookingEvent event);
    void tick();
    void perform(const bookings::AppendRecords &action);
    void perform(const bookings::DispatchBooking &action);
    void perform(const bookings::AnswerBooking &action);
    void perform(const bookings::RefuseBooking &action);
    void perform(const bookings::NoteBooking &action);
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
