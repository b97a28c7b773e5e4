#include "http/internal/clientmessages.h"

#include "http/internal/transfercoding.h"

#include <cstdlib>
#include <string>
#include <string_view>

namespace rosemaryshift::http {

namespace bhttp = boost::beast::http;

namespace {

BodyFraming framingOf(const ResponseParser &parser)
{
    if (parser.need_eof()) {
        return BodyFraming::Connection;
    }
    return parser.chunked() ? BodyFraming::Chunked : BodyFraming::Length;
}

constexpr unsigned int LowestStatus = 100;
constexpr unsigned int LowestFinalStatus = 200;
constexpr unsigned int HighestStatus = 599;
constexpr unsigned int SwitchingProtocols = 101;

/// Whether a line of @p head begins with white space, and so continues the one before.
bool hasFoldedLine(std::string_view head)
{
    return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

}

bhttp::request<bhttp::string_body> toMessage(const Endpoint &endpoint, Request request, bool keepAlive)
{
    bhttp::request<bhttp::string_body> message(bhttp::string_to_verb(request.method), request.target, 11);
    if (message.method() == bhttp::verb::unknown) {
        message.method_string(request.method);
    }
    if (!request.headers.find("Host")) {
        message.set(bhttp::field::host, endpoint.text());
    }
    for (const Header &field : request.headers.all()) {
        message.insert(field.name, field.value);
    }
    message.keep_alive(keepAlive);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

std::optional<std::string_view> headFault(std::string_view head, const ResponseParser &parser)
{
    const unsigned int status = parser.get().result_int();
    if (status < LowestStatus || status > HighestStatus) {
        return "the status is none of HTTP";
    }
    if (status == SwitchingProtocols) {
        return "the server switches to a protocol that nobody asked for";
    }
    if (hasFoldedLine(head)) {
        return "a line of the head is folded";
    }
    if (!isBodyReadable(parser.get(), parser.get().version())) {
        return "the transfer coding is not \"chunked\" alone";
    }
    return std::nullopt;
}

bool isInterim(const ResponseParser &parser)
{
    return parser.get().result_int() < LowestFinalStatus;
}

Response toResponse(const ResponseParser &parser)
{
    Response response;
    response.status = static_cast<int>(parser.get().result_int());
    for (const auto &field : parser.get()) {
        response.headers.add(field.name_string(), field.value());
    }
    response.framing = framingOf(parser);
    return response;
}

std::optional<std::chrono::milliseconds> statedIdleTimeout(const ResponseParser &parser)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string keepAlive(parser.get()[bhttp::field::keep_alive]);
    const std::size_t at = keepAlive.find(Parameter);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::strtoul(keepAlive.c_str() + at + Parameter.size(), nullptr, 10));
}

}
