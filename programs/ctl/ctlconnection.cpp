#include "ctlconnection.h"

#include "base/json.h"

#include <cstdio>

namespace rosemaryshift::ctl {

void print(std::string_view text)
{
    std::fwrite(text.data(), 1, text.size(), stdout);
}

void printError(std::string_view text)
{
    std::fwrite(text.data(), 1, text.size(), stderr);
    std::fputc('\n', stderr);
}

std::optional<operators::OperatorTarget> readTarget(const program::Arguments &arguments)
{
    const std::optional<http::Endpoint> endpoint = http::Endpoint::parse(arguments.text("--host"));
    if (!endpoint) {
        printError("--host must be an IP address and a port");
        return std::nullopt;
    }
    std::string reason;
    std::optional<std::string> token = program::readToken(arguments.text("--token-file"), reason);
    if (!token) {
        printError(reason);
        return std::nullopt;
    }
    return operators::OperatorTarget{*endpoint, std::move(*token)};
}

std::optional<Json::Value> call(const operators::OperatorTarget &target, const std::string &method, const std::string &path, const Json::Value &body)
{
    std::string reason;
    std::optional<operators::OperatorAnswer> answer = operators::callOperator(target, method, path, body, reason);
    if (!answer) {
        printError(reason);
        return std::nullopt;
    }
    if (answer->body.isObject() && answer->body.isMember("error")) {
        printError(stringMember(answer->body["error"], "message").value_or("the host refused the call"));
        return std::nullopt;
    }
    return std::move(answer->body);
}

}
