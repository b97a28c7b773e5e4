#include "templates/textdiff.h"

#include <algorithm>
#include <vector>

namespace rosemaryshift::templates {

namespace {

using Lines = std::vector<std::string_view>;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

/// Lengths of the longest common subsequences of all pairs of suffixes of two lists of lines.
class CommonSubsequenceLengths
{
public:
    CommonSubsequenceLengths(const Lines &before, const Lines &after)
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

void addLine(std::string &text, char prefix, std::string_view line)
{
    text += prefix;
    text += line;
    text += '\n';
}

}

std::string textDiff(std::string_view before, std::string_view after)
{
    if (before == after) {
        return {};
    }
    const Lines oldLines = splitLines(before);
    const Lines newLines = splitLines(after);
    const CommonSubsequenceLengths lengths(oldLines, newLines);
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < oldLines.size() || j < newLines.size()) {
        if (i < oldLines.size() && j < newLines.size() && oldLines[i] == newLines[j]) {
            addLine(text, ' ', oldLines[i++]);
            ++j;
        } else if (j == newLines.size() || (i < oldLines.size() && lengths.at(i + 1, j) >= lengths.at(i, j + 1))) {
            addLine(text, '-', oldLines[i++]);
        } else {
            addLine(text, '+', newLines[j++]);
        }
    }
    return text;
}

}
