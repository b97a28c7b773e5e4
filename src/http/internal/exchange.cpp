#include "http/ihttpclient.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>

namespace rosemaryshift::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);
constexpr std::size_t PieceBytes = 16 * 1024;
constexpr std::uint64_t MaxAnswerBytes = 64ULL * 1024 * 1024;

class Exchange : public IExchange, public std::enable_shared_from_this<Exchange>
{
public:
    explicit Exchange(const net::any_io_executor &executor)
        : m_stream(executor)
    {
        m_parser.body_limit(MaxAnswerBytes);
    }

    net::awaitable<std::optional<Response>> open(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure) override
    {
        m_timeouts = timeouts;
        if (!co_await connect(endpoint, failure)) {
            co_return std::nullopt;
        }
        if (!co_await send(endpoint, std::move(request), failure)) {
            co_return std::nullopt;
        }
        m_stream.expires_after(m_timeouts.header);
        const auto [error, bytes] = co_await bhttp::async_read_header(m_stream, m_buffer, m_parser, Token);
        if (error) {
            failure = failureOf(error, ClientError::Closed);
            co_return std::nullopt;
        }
        co_return head();
    }

    net::awaitable<std::optional<std::string>> readSome(ClientFailure &failure) override
    {
        std::array<char, PieceBytes> piece{};
        while (!m_parser.is_done()) {
            m_parser.get().body().data = piece.data();
            m_parser.get().body().size = piece.size();
            m_stream.expires_after(m_timeouts.body);
            const auto [error, bytes] = co_await bhttp::async_read_some(m_stream, m_buffer, m_parser, Token);
            if (error && error != bhttp::error::need_buffer) {
                failure = failureOf(error, ClientError::Closed);
                co_return std::nullopt;
            }
            const std::size_t length = piece.size() - m_parser.get().body().size;
            if (length > 0) {
                co_return std::string(piece.data(), length);
            }
        }
        co_return std::string();
    }

    void cancel() override
    {
        m_cancelled = true;
        net::post(m_stream.get_executor(), [self = shared_from_this()] { self->m_stream.close(); });
    }

private:
    net::awaitable<bool> connect(const Endpoint &endpoint, ClientFailure &failure)
    {
        beast::error_code parseError;
        const net::ip::address address = net::ip::make_address(endpoint.address, parseError);
        if (parseError || m_cancelled) {
            failure = {m_cancelled ? ClientError::Cancelled : ClientError::ConnectFailed, endpoint.text()};
            co_return false;
        }
        m_stream.expires_after(m_timeouts.connect);
        const auto [error] = co_await m_stream.async_connect(net::ip::tcp::endpoint(address, endpoint.port), Token);
        if (error || m_cancelled) {
            failure = {m_cancelled ? ClientError::Cancelled : ClientError::ConnectFailed, endpoint.text() + ": " + error.message()};
            co_return false;
        }
        beast::error_code ignored;
        m_stream.socket().set_option(net::ip::tcp::no_delay(true), ignored);
        co_return true;
    }

    net::awaitable<bool> send(const Endpoint &endpoint, Request request, ClientFailure &failure)
    {
        bhttp::request<bhttp::string_body> message(bhttp::string_to_verb(request.method), request.target, 11);
        if (message.method() == bhttp::verb::unknown) {
            message.method_string(request.method);
        }
        message.set(bhttp::field::host, endpoint.text());
        for (const Header &field : request.headers.all()) {
            message.insert(field.name, field.value);
        }
        message.keep_alive(false);
        message.body() = std::move(request.body);
        message.prepare_payload();
        m_parser.skip(message.method() == bhttp::verb::head);
        m_stream.expires_after(m_timeouts.header);
        const auto [error, bytes] = co_await bhttp::async_write(m_stream, message, Token);
        if (error) {
            failure = failureOf(error, ClientError::SendFailed);
            co_return false;
        }
        co_return true;
    }

    [[nodiscard]] Response head() const
    {
        Response response;
        response.status = static_cast<int>(m_parser.get().result_int());
        for (const auto &field : m_parser.get()) {
            response.headers.add(field.name_string(), field.value());
        }
        return response;
    }

    [[nodiscard]] ClientFailure failureOf(beast::error_code error, ClientError otherwise) const
    {
        if (m_cancelled) {
            return {ClientError::Cancelled, "cancelled"};
        }
        if (error == beast::error::timeout) {
            return {ClientError::Silent, "nothing came within the timeout"};
        }
        const bool closed = error == bhttp::error::end_of_stream || error == bhttp::error::partial_message;
        if (!closed && error.category() == make_error_code(bhttp::error::bad_method).category()) {
            return {ClientError::Malformed, error.message()};
        }
        return {otherwise, error.message()};
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bhttp::response_parser<bhttp::buffer_body> m_parser;
    ClientTimeouts m_timeouts;
    std::atomic<bool> m_cancelled = false;
};

}

std::shared_ptr<IExchange> makeExchange(const net::any_io_executor &executor)
{
    return std::make_shared<Exchange>(executor);
}

net::awaitable<std::optional<Response>> fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    const std::shared_ptr<IExchange> exchange = makeExchange(executor);
    std::optional<Response> response = co_await exchange->open(endpoint, std::move(request), timeouts, failure);
    if (!response) {
        co_return std::nullopt;
    }
    while (true) {
        const std::optional<std::string> piece = co_await exchange->readSome(failure);
        if (!piece) {
            co_return std::nullopt;
        }
        if (piece->empty()) {
            co_return response;
        }
        response->body += *piece;
    }
}

}
