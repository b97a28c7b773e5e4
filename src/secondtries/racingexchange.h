#pragma once

#include "http/ihttpclient.h"

#include <array>
#include <atomic>

namespace rosemaryshift::secondtries {

/// The tries of one request.
enum class TryNumber : std::uint8_t { First, Second };

/// What the head of an answer is to a request.
enum class HeadVerdict : std::uint8_t {
    Answer,       ///< Its answer: the race is decided.
    OtherRequest, ///< The answer to another request, which is skipped.
    NoAnswer,     ///< No answer that the caller should get while the other try may still bring one.
};

/// Where, with what and until when a try is sent.
struct TryRequest {
    http::Endpoint endpoint;
    http::RequestSource source;
    http::ClientTimeouts timeouts;
};

/// How a try ended that the race goes on without.
struct TryEnd {
    bool cancelled = false;             ///< The other try was faster.
    std::optional<http::Response> head; ///< What it brought, which HeadVerdict::NoAnswer says is no answer.
    bool unexpected = false;            ///< As passed to IRaceDecisions::judge().
    http::ClientFailure failure;        ///< Why it brought nothing, when it was not cancelled and there is no head.
};

/// Decides on the tries of one request. Called while RacingExchange::open() runs, from the same executor.
class IRaceDecisions
{
public:
    virtual ~IRaceDecisions() = default;

    /// Called when the first try has brought no answer within the delay, and again after each doubling of its time. Returns the second try, after which it is
    /// not called any more; nothing when none is to be sent now.
    virtual std::optional<TryRequest> startSecondTry() = 0;
    /// Judges the @p head of an answer. @p unexpected: bytes of earlier exchanges preceded it on its connection, or may have.
    virtual HeadVerdict judge(TryNumber number, const http::Response &head, bool unexpected) = 0;
    /// Called when a try has ended and the race goes on, or is decided, without it. It is not called for the try whose result open() returns.
    virtual void noteTryEnded(TryNumber number, const TryEnd &end) = 0;
};

/// When the second try starts, and what decides the race.
struct RaceSettings {
    std::chrono::steady_clock::duration delay{0}; ///< From the sending of the first try until the second one is considered.
    bool untilBody = false;                       ///< The race lasts until the first bytes of an answer's body instead of its head.
    int maxSkipped = 0;                           ///< Answers to other requests that are skipped on one connection.
};

/// An exchange that sends a slow request to a second server and goes on with the try that is answered first. The other one is cancelled at once; nothing of
/// it is passed on. Used like the exchanges that it consists of.
class RacingExchange : public http::IExchange
{
public:
    /// @p first, @p second: exchanges that were not opened. @p decisions: must exist until open() has ended.
    RacingExchange(std::shared_ptr<http::IExchange> first, std::shared_ptr<http::IExchange> second, RaceSettings settings, IRaceDecisions &decisions);
    ~RacingExchange() override;
    RacingExchange(const RacingExchange &) = delete;
    RacingExchange &operator=(const RacingExchange &) = delete;

    /// Runs the race; the arguments are those of the first try. When no try brings an answer, the result is that of the last one to end.
    boost::asio::awaitable<std::optional<http::Response>>
    open(const http::Endpoint &endpoint, http::RequestSource source, http::ClientTimeouts timeouts, http::ClientFailure &failure) override;
    boost::asio::awaitable<std::optional<std::string>> readSome(http::ClientFailure &failure) override;
    boost::asio::awaitable<std::optional<http::Response>> openNext(http::ClientFailure &failure) override;
    /// The same as in IExchange; @p handler is not asked while both tries run.
    void setSilenceHandler(http::SilenceHandler handler) override;
    void setEnd(std::chrono::steady_clock::time_point end) override;
    [[nodiscard]] bool hasUnread() override;
    void cancel() override;
    [[nodiscard]] bool reused() const override;

private:
    struct Race;

    /// Starts a try of the race.
    void start(const boost::asio::any_io_executor &executor, TryNumber number, TryRequest what);
    /// Starts the second try if it is due and wanted.
    void considerSecond(const boost::asio::any_io_executor &executor);
    /// Reports the tries that the race goes on without. Returns the try whose result counts; nothing while the race goes on.
    std::optional<TryNumber> decide();
    void reportEnded(TryNumber number);
    /// The exchange that is read from: that of the deciding try, or of one that still runs.
    [[nodiscard]] http::IExchange &current() const;

    const std::array<std::shared_ptr<http::IExchange>, 2> m_exchanges;
    const std::shared_ptr<Race> m_race;
    std::optional<std::string> m_firstBytes; ///< Read during the race and not passed on yet.
    std::atomic<bool> m_cancelled = false;
};

}
