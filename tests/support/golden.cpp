#include "support/golden.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace rosemaryshift::testing {

namespace {

std::string goldenPath(const std::string &name)
{
    return std::string(ROSEMARYSHIFT_GOLDEN) + "/" + name + ".txt";
}

/// Whether a header field is part of the API for callers and is therefore recorded.
bool isApiField(const http::Header &field)
{
    for (const std::string_view name :
         {"Content-Type", "Retry-After", "Rosemaryshift-Request", "Rosemaryshift-Run", "Last-Event-ID", "Idempotency-Key", "Rosemaryshift-Class"}) {
        http::Headers one;
        one.add(field.name, "");
        if (one.find(name)) {
            return true;
        }
    }
    return false;
}

std::string headerLines(const http::Headers &headers)
{
    std::string text;
    for (const http::Header &field : headers.all()) {
        if (isApiField(field)) {
            text += field.name + ": " + field.value + "\n";
        }
    }
    return text;
}

}

GoldenSession::GoldenSession(std::string name)
    : m_name(std::move(name))
{
}

void GoldenSession::addComment(const std::string &text)
{
    m_text += "# " + text + "\n";
}

void GoldenSession::addExchange(const http::Request &request, const http::Response &response)
{
    addLine("> " + request.method + " " + request.target + "\n" + headerLines(request.headers) + request.body);
    addLine("< " + std::to_string(response.status) + "\n" + headerLines(response.headers) + response.body + "\n");
}

void GoldenSession::addLine(const std::string &text)
{
    m_text += normalized(text) + "\n";
}

std::string GoldenSession::normalized(const std::string &text)
{
    static const std::regex Id("entry-[0-9]+\\.[0-9a-f]{8}-[0-9]+");
    std::string result;
    std::string::const_iterator at = text.begin();
    std::smatch match;
    while (std::regex_search(at, text.end(), match, Id)) {
        result.append(at, match[0].first);
        const std::string known = match[0].str();
        m_ids.emplace(known, "REQUEST-" + std::to_string(m_ids.size() + 1));
        result += m_ids[known];
        at = match[0].second;
    }
    result.append(at, text.end());
    return result;
}

void GoldenSession::compare()
{
    const std::string path = goldenPath(m_name);
    if (std::getenv("ROSEMARYSHIFT_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << m_text;
        return;
    }
    std::ifstream file(path);
    std::stringstream golden;
    golden << file.rdbuf();
    INFO("golden file " << m_name);
    CHECK(m_text == golden.str());
}

}
