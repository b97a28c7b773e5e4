#pragma once

#include "http/httptypes.h"

#include <map>
#include <string>

namespace rosemaryshift::testing {

/// Records the requests and answers of one session and compares the record with a golden file.
///
/// Ids that differ from run to run are replaced by names in the order of their first appearance. With the environment
/// variable ROSEMARYSHIFT_UPDATE_GOLDEN set, the file is written instead of compared.
class GoldenSession
{
public:
    explicit GoldenSession(std::string name);

    /// Adds a comment line, which describes the exchange that follows.
    void addComment(const std::string &text);
    /// Adds a request and its answer.
    void addExchange(const http::Request &request, const http::Response &response);
    /// Adds text and a line break, with request ids replaced as described for the class.
    void addLine(const std::string &text);
    /// Compares the record with the golden file; the test fails when they differ.
    void compare();

private:
    std::string normalized(const std::string &text);

    const std::string m_name;
    std::string m_text;
    std::map<std::string, std::string> m_ids;
};

}
