#include "templates/textdiff.h"

#include <algorithm>
#include <vector>

namespace rosemaryshift::templates {

namespace {

using Lines = std::vector<std::string_view>;

Lines linesOf(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

/// Lengths of the longest common subsequences of all pairs of tails of two lists of lines.
class CommonTails
{
public:
    CommonTails(const Lines &before, const Lines &after)
        : m_columns(after.size() + 1)
        , m_lengths((before.size() + 1) * m_columns)
    {
        for (std::size_t i = before.size(); i-- > 0;) {
            for (std::size_t j = after.size(); j-- > 0;) {
                const bool same = before[i] == after[j];
                m_lengths[i * m_columns + j] = same ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    [[nodiscard]] std::size_t at(std::size_t before, std::size_t after) const
    {
        return m_lengths[before * m_columns + after];
    }

private:
    const std::size_t m_columns;
    std::vector<std::size_t> m_lengths;
};

void addLine(std::string &text, char mark, std::string_view line)
{
    text += mark;
    text += line;
    text += '\n';
}

}

std::string textDiff(std::string_view before, std::string_view after)
{
    if (before == after) {
        return {};
    }
    const Lines old = linesOf(before);
    const Lines fresh = linesOf(after);
    const CommonTails tails(old, fresh);
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old.size() || j < fresh.size()) {
        if (i < old.size() && j < fresh.size() && old[i] == fresh[j]) {
            addLine(text, ' ', old[i++]);
            ++j;
        } else if (j == fresh.size() || (i < old.size() && tails.at(i + 1, j) >= tails.at(i, j + 1))) {
            addLine(text, '-', old[i++]);
        } else {
            addLine(text, '+', fresh[j++]);
        }
    }
    return text;
}

}
