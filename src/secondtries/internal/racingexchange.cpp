#include "secondtries/racingexchange.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace rosemaryshift::secondtries {

namespace net = boost::asio;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);

using SteadyTime = std::chrono::steady_clock::time_point;

/// Shortest time until a second try that was not sent is considered again.
constexpr std::chrono::milliseconds MinReconsideration{10};

TryNumber other(TryNumber number)
{
    return number == TryNumber::First ? TryNumber::Second : TryNumber::First;
}

}

/// State that the tries share with the exchange. A try that was cancelled ends later than the exchange may.
struct RacingExchange::Race {
    struct Try {
        bool running = false;
        bool ended = false;    ///< It has ended, and its result was neither reported nor returned.
        bool answered = false; ///< The result is an answer.
        bool unexpected = false;
        std::optional<http::Response> head;
        std::optional<std::string> firstBytes;
        http::ClientFailure failure;
    };

    Race(RaceSettings raceSettings, IRaceDecisions &raceDecisions)
        : settings(raceSettings)
        , decisions(&raceDecisions)
    {
    }

    Try &operator[](TryNumber number)
    {
        return tries.at(static_cast<std::size_t>(number));
    }

    void notify()
    {
        if (changed) {
            changed->cancel();
        }
    }

    /// The request of a try; nothing when the race is over.
    std::optional<http::Request> request(TryNumber number, const http::RequestSource &source)
    {
        std::optional<http::Request> request = decisions != nullptr ? source() : std::nullopt;
        if (request && number == TryNumber::First) {
            sentAt = std::chrono::steady_clock::now();
            secondDue = sentAt + settings.delay;
            notify();
        }
        return request;
    }

    /// Whether to give up a try whose server is silent.
    static net::awaitable<bool> askWhenSilent(std::shared_ptr<Race> race, TryNumber number)
    {
        if ((*race)[other(number)].running) {
            co_return false;
        }
        const bool lost = race->winner && *race->winner != number;
        if (lost || race->closed || !race->silenceHandler) {
            co_return true;
        }
        race->askingHandler = true;
        const bool givesUp = co_await race->silenceHandler();
        race->askingHandler = false;
        race->notify();
        co_return givesUp;
    }

    static net::awaitable<void> run(std::shared_ptr<Race> race, std::shared_ptr<http::IExchange> exchange, TryNumber number, TryRequest what)
    {
        Try &state = (*race)[number];
        http::RequestSource source = [race, number, request = std::move(what.source)] { return race->request(number, request); };
        std::optional<http::Response> head = co_await exchange->open(what.endpoint, std::move(source), what.timeouts, state.failure);
        int skipped = 0;
        HeadVerdict verdict = HeadVerdict::NoAnswer;
        while (head && race->decisions != nullptr) {
            state.unexpected = skipped > 0 || exchange->reused();
            verdict = race->decisions->judge(number, *head, state.unexpected);
            if (verdict != HeadVerdict::OtherRequest) {
                break;
            }
            if (skipped == race->settings.maxSkipped) {
                exchange->cancel();
                state.failure = {http::ClientError::Malformed, "too many answers to other requests"};
                head.reset();
                break;
            }
            ++skipped;
            head = co_await exchange->openNext(state.failure);
        }
        state.answered = head && verdict == HeadVerdict::Answer;
        if (state.answered && race->settings.untilBody) {
            state.firstBytes = co_await exchange->readSome(state.failure);
            state.answered = state.firstBytes.has_value();
        }
        if (state.answered || verdict == HeadVerdict::NoAnswer) {
            state.head = std::move(head);
        }
        race->end(number);
    }

    void end(TryNumber number)
    {
        Try &state = (*this)[number];
        state.running = false;
        state.ended = true;
        if (state.answered && !winner && decisions != nullptr) {
            winner = number;
        }
        notify();
    }

    const RaceSettings settings;
    IRaceDecisions *decisions; ///< Null once the race is over.
    http::SilenceHandler silenceHandler;
    std::array<Try, 2> tries;
    std::optional<net::steady_timer> changed; ///< Cancelled when something has changed; expires when the second try is due.
    SteadyTime sentAt;                        ///< When the first try was sent.
    std::optional<SteadyTime> secondDue;      ///< When the second try is considered next; set from the sending of the first one until that of the second.
    std::optional<TryNumber> winner;          ///< The first try that was answered.
    bool askingHandler = false;
    bool closed = false; ///< The exchange was destroyed.
    std::exception_ptr exception;
};

RacingExchange::RacingExchange(std::shared_ptr<http::IExchange> first,
                               std::shared_ptr<http::IExchange> second,
                               RaceSettings settings,
                               IRaceDecisions &decisions)
    : m_exchanges{std::move(first), std::move(second)}
    , m_race(std::make_shared<Race>(settings, decisions))
{
}

RacingExchange::~RacingExchange()
{
    if (m_race->decisions != nullptr) {
        cancel();
    }
    m_race->decisions = nullptr;
    m_race->closed = true;
    m_race->silenceHandler = nullptr;
}

net::awaitable<std::optional<http::Response>>
RacingExchange::open(const http::Endpoint &endpoint, http::RequestSource source, http::ClientTimeouts timeouts, http::ClientFailure &failure)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    m_race->changed.emplace(executor);
    start(executor, TryNumber::First, {endpoint, std::move(source), timeouts});
    std::optional<TryNumber> decided;
    while (true) {
        if (m_race->exception) {
            m_race->decisions = nullptr;
            cancel();
            std::rethrow_exception(m_race->exception);
        }
        decided = decide();
        if (decided) {
            break;
        }
        considerSecond(executor);
        // While the handler looks for another server, the second try waits, as both may choose the same.
        const bool mayBecomeDue = m_race->secondDue && !m_race->askingHandler;
        m_race->changed->expires_at(mayBecomeDue ? *m_race->secondDue : SteadyTime::max());
        co_await m_race->changed->async_wait(Token);
    }
    m_race->decisions = nullptr;
    m_race->winner = decided;
    Race::Try &result = (*m_race)[*decided];
    m_firstBytes = std::move(result.firstBytes);
    failure = result.failure;
    std::optional<http::Response> head = std::move(result.head);
    co_return head;
}

void RacingExchange::start(const net::any_io_executor &executor, TryNumber number, TryRequest what)
{
    const std::shared_ptr<http::IExchange> exchange = m_exchanges.at(static_cast<std::size_t>(number));
    const std::shared_ptr<Race> race = m_race;
    (*race)[number].running = true;
    exchange->setSilenceHandler([race = std::weak_ptr<Race>(race), number]() -> net::awaitable<bool> { return Race::askWhenSilent(race.lock(), number); });
    net::co_spawn(executor, Race::run(race, exchange, number, std::move(what)), [race, number](const std::exception_ptr &exception) {
        if (exception && race->decisions == nullptr) {
            std::rethrow_exception(exception);
        }
        if (exception) {
            race->exception = exception;
            race->end(number);
        }
    });
}

void RacingExchange::considerSecond(const net::any_io_executor &executor)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (!m_race->secondDue || m_race->askingHandler || m_cancelled || now < *m_race->secondDue) {
        return;
    }
    std::optional<TryRequest> second = m_race->decisions->startSecondTry();
    if (!second) {
        m_race->secondDue = now + std::max<SteadyTime::duration>(now - m_race->sentAt, MinReconsideration);
        return;
    }
    m_race->secondDue.reset();
    start(executor, TryNumber::Second, std::move(*second));
}

std::optional<TryNumber> RacingExchange::decide()
{
    Race &race = *m_race;
    if (race.winner) {
        reportEnded(other(*race.winner));
        return race.winner;
    }
    std::optional<TryNumber> last;
    for (const TryNumber number : {TryNumber::First, TryNumber::Second}) {
        const Race::Try &opponent = race[other(number)];
        if (!race[number].ended) {
            continue;
        }
        // The result of the last try to end is returned, so that it is reported like that of a single one.
        if (opponent.running || (opponent.ended && number == TryNumber::First)) {
            reportEnded(number);
        } else {
            last = number;
        }
    }
    return last;
}

void RacingExchange::reportEnded(TryNumber number)
{
    Race::Try &state = (*m_race)[number];
    if (!state.running && !state.ended) {
        return;
    }
    TryEnd end;
    end.cancelled = state.running || state.answered;
    end.head = std::exchange(state.head, std::nullopt);
    end.unexpected = state.unexpected;
    end.failure = state.failure;
    state.running = false;
    state.ended = false;
    m_exchanges.at(static_cast<std::size_t>(number))->cancel();
    m_race->decisions->noteTryEnded(number, end);
}

net::awaitable<std::optional<std::string>> RacingExchange::readSome(http::ClientFailure &failure)
{
    if (m_firstBytes) {
        std::optional<std::string> bytes = std::exchange(m_firstBytes, std::nullopt);
        co_return bytes;
    }
    std::optional<std::string> bytes = co_await current().readSome(failure);
    co_return bytes;
}

net::awaitable<std::optional<http::Response>> RacingExchange::openNext(http::ClientFailure &failure)
{
    m_firstBytes.reset();
    std::optional<http::Response> head = co_await current().openNext(failure);
    co_return head;
}

void RacingExchange::setSilenceHandler(http::SilenceHandler handler)
{
    m_race->silenceHandler = std::move(handler);
}

void RacingExchange::setEnd(std::chrono::steady_clock::time_point end)
{
    current().setEnd(end);
}

bool RacingExchange::hasUnread()
{
    return current().hasUnread();
}

void RacingExchange::cancel()
{
    m_cancelled = true;
    for (const std::shared_ptr<http::IExchange> &exchange : m_exchanges) {
        exchange->cancel();
    }
}

bool RacingExchange::reused() const
{
    return m_race->winner ? (*m_race)[*m_race->winner].unexpected : current().reused();
}

http::IExchange &RacingExchange::current() const
{
    const bool second = m_race->winner ? *m_race->winner == TryNumber::Second : (*m_race)[TryNumber::Second].running;
    return *m_exchanges.at(second ? 1 : 0);
}

}
