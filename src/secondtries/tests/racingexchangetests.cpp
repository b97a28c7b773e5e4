#include "secondtries/racingexchange.h"

#include <boost/asio.hpp>

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::secondtries;
namespace net = boost::asio;

namespace {

/// What a server brings: an answer with a status and a body, or a failure.
struct Reply {
    int status = 0;
    std::string body;
    http::ClientError error = http::ClientError::Closed;
};

/// An exchange without a connection, whose server replies when the test says so.
class FakeExchange : public http::IExchange
{
public:
    explicit FakeExchange(net::io_context &context)
        : m_replied(context, std::chrono::steady_clock::time_point::max())
    {
    }

    net::awaitable<std::optional<http::Response>>
    open(const http::Endpoint & /*endpoint*/, http::RequestSource source, http::ClientTimeouts /*timeouts*/, http::ClientFailure &failure) override
    {
        const std::optional<http::Request> request = source();
        sent = request.has_value();
        std::optional<http::Response> head = co_await openNext(failure);
        co_return head;
    }

    net::awaitable<std::optional<http::Response>> openNext(http::ClientFailure &failure) override
    {
        while (replies.empty() && !cancelled) {
            co_await m_replied.async_wait(net::as_tuple(net::use_awaitable));
        }
        const Reply reply = replies.empty() ? Reply{0, {}, http::ClientError::Cancelled} : replies.front();
        replies.erase(replies.begin(), replies.begin() + (replies.empty() ? 0 : 1));
        failure = {reply.error, "failed"};
        if (reply.status == 0) {
            co_return std::nullopt;
        }
        m_body = reply.body;
        http::Response response;
        response.status = reply.status;
        co_return response;
    }

    net::awaitable<std::optional<std::string>> readSome(http::ClientFailure & /*failure*/) override
    {
        co_return std::exchange(m_body, std::string());
    }

    void setSilenceHandler(http::SilenceHandler handler) override
    {
        silenceHandler = std::move(handler);
    }

    void setEnd(std::chrono::steady_clock::time_point /*end*/) override
    {
    }

    [[nodiscard]] bool hasUnread() override
    {
        return false;
    }

    void cancel() override
    {
        cancelled = true;
        m_replied.cancel();
    }

    [[nodiscard]] bool reused() const override
    {
        return false;
    }

    void reply(Reply reply)
    {
        replies.push_back(std::move(reply));
        m_replied.cancel();
    }

    bool sent = false;
    bool cancelled = false;
    std::vector<Reply> replies;
    http::SilenceHandler silenceHandler;

private:
    net::steady_timer m_replied;
    std::string m_body;
};

constexpr int OtherRequestStatus = 299;

class Race : public IRaceDecisions
{
public:
    /// @p refusals: how often no second try is sent when it is considered.
    explicit Race(RaceSettings settings, int refusals = 0)
        : exchange(first, second, settings, *this)
        , m_refusals(refusals)
    {
        net::co_spawn(context, run(), net::detached);
        context.poll();
    }

    std::optional<TryRequest> startSecondTry() override
    {
        if (m_refusals-- > 0) {
            events += "not ";
            return std::nullopt;
        }
        events += "start ";
        return TryRequest{{"upstream-2", 1}, [] { return std::optional<http::Request>(http::Request()); }, {}};
    }

    HeadVerdict judge(TryNumber /*number*/, const http::Response &head, bool /*unexpected*/) override
    {
        if (head.status == OtherRequestStatus) {
            return HeadVerdict::OtherRequest;
        }
        return head.status == 200 ? HeadVerdict::Answer : HeadVerdict::NoAnswer;
    }

    void noteTryEnded(TryNumber number, const TryEnd &end) override
    {
        events += number == TryNumber::First ? "first:" : "second:";
        events += end.cancelled ? "cancelled " : end.head ? std::to_string(end.head->status) + " " : "failed ";
    }

    void run(FakeExchange &exchange, Reply reply)
    {
        exchange.reply(std::move(reply));
        context.restart();
        context.poll();
    }

    net::io_context context;
    std::shared_ptr<FakeExchange> first = std::make_shared<FakeExchange>(context);
    std::shared_ptr<FakeExchange> second = std::make_shared<FakeExchange>(context);
    std::string events;
    bool ended = false;
    std::optional<http::Response> response;
    std::string body;
    http::ClientFailure failure;
    RacingExchange exchange;

private:
    net::awaitable<void> run()
    {
        const http::Endpoint endpoint{"upstream-1", 1};
        http::RequestSource source = [] { return std::optional<http::Request>(http::Request()); };
        const http::ClientTimeouts timeouts;
        response = co_await exchange.open(endpoint, std::move(source), timeouts, failure);
        while (response) {
            const std::optional<std::string> bytes = co_await exchange.readSome(failure);
            if (!bytes || bytes->empty()) {
                break;
            }
            body += *bytes;
        }
        ended = true;
    }

    int m_refusals;
};

}

TEST_CASE("A race of two tries goes on with the one that is answered first")
{
    Race race({std::chrono::seconds(0), GENERATE(false, true), 2});
    REQUIRE(race.second->sent);
    REQUIRE(race.events == "start ");

    SECTION("the first one wins, and the second one is cancelled at once")
    {
        race.run(*race.first, {200, "one"});
        REQUIRE(race.ended);
        CHECK(race.body == "one");
        CHECK(race.second->cancelled);
        CHECK(!race.first->cancelled);
        CHECK(race.events == "start second:cancelled ");

        SECTION("what the second one brings later is ignored")
        {
            race.run(*race.second, {200, "two"});
            CHECK(race.body == "one");
            CHECK(race.events == "start second:cancelled ");
        }
    }
    SECTION("the second one wins, and the first one is cancelled at once")
    {
        race.run(*race.second, {200, "two"});
        REQUIRE(race.ended);
        CHECK(race.body == "two");
        CHECK(race.first->cancelled);
        CHECK(race.events == "start first:cancelled ");
    }
    SECTION("both are answered at the same moment: one answer is passed on, and nothing of the other")
    {
        race.second->reply({200, "two"});
        race.run(*race.first, {200, "one"});
        CHECK(race.body == "two");
        CHECK(race.events == "start first:cancelled ");
    }
    SECTION("a try that fails, or brings no answer, leaves the request to the other one")
    {
        race.run(*race.first, GENERATE(Reply{}, Reply{503, {}}));
        REQUIRE(!race.ended);
        CHECK(race.events.starts_with("start first:"));
        CHECK(!race.events.ends_with("cancelled "));
        CHECK(race.first->cancelled);
        race.run(*race.second, {200, "two"});
        CHECK(race.body == "two");
    }
    SECTION("when both fail, the result is that of the last one")
    {
        race.run(*race.second, {500, {}});
        REQUIRE(!race.ended);
        race.run(*race.first, {0, {}, http::ClientError::TimedOut});
        REQUIRE(race.ended);
        CHECK(!race.response);
        CHECK(race.failure.error == http::ClientError::TimedOut);
        CHECK(race.events == "start second:500 ");
    }
    SECTION("when both fail at the same moment, each is reported once")
    {
        race.first->reply({503, {}});
        race.run(*race.second, {500, {}});
        REQUIRE(race.response);
        CHECK(race.response->status == 500);
        CHECK(race.events == "start first:503 ");
    }
    SECTION("cancelled from outside, both end")
    {
        race.exchange.cancel();
        race.context.restart();
        race.context.poll();
        REQUIRE(race.ended);
        CHECK(race.first->cancelled);
        CHECK(race.second->cancelled);
        CHECK(race.failure.error == http::ClientError::Cancelled);
    }
    SECTION("an answer to another request is skipped, but not without end")
    {
        race.run(*race.first, {OtherRequestStatus, "other"});
        CHECK(!race.ended);
        race.run(*race.first, {OtherRequestStatus, "other"});
        race.run(*race.first, {OtherRequestStatus, "other"});
        CHECK(race.events == "start first:failed ");
        race.run(*race.second, {OtherRequestStatus, "other"});
        race.run(*race.second, {200, "two"});
        CHECK(race.body == "two");
        CHECK(race.exchange.reused());
    }
    SECTION("a silent server is not left for a third one while both tries run")
    {
        bool asked = false;
        race.exchange.setSilenceHandler([&asked]() -> net::awaitable<bool> {
            asked = true;
            co_return true;
        });
        bool givesUp = true;
        const auto note = [&givesUp](const std::exception_ptr & /*exception*/, bool result) { givesUp = result; };
        net::co_spawn(race.context, race.first->silenceHandler(), note);
        race.context.restart();
        race.context.poll();
        CHECK(!givesUp);
        CHECK(!asked);
        race.run(*race.first, Reply{});
        net::co_spawn(race.context, race.second->silenceHandler(), note);
        race.context.restart();
        race.context.poll();
        CHECK(givesUp);
        CHECK(asked);
    }
}

TEST_CASE("A request that is answered, or fails, within the delay gets no second try")
{
    Race race({std::chrono::hours(1), false, 2});
    const Reply reply = GENERATE(Reply{200, "one"}, Reply{503, {}}, Reply{});
    race.run(*race.first, reply);
    REQUIRE(race.ended);
    CHECK(race.response.has_value() == (reply.status > 0));
    CHECK(!race.second->sent);
    CHECK(race.events.empty());
}

TEST_CASE("A second try that is not sent when it is due is considered again as long as the first one brings no answer")
{
    Race race({std::chrono::seconds(0), false, 2}, 3);
    race.context.restart();
    while (!race.second->sent) {
        race.context.run_one();
    }
    CHECK(race.events == "not not not start ");
}
