#pragma once

#include "configurations/sectionedtext.h"
#include "ports/logposition.h"

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::configurations {

/// The text of a configuration, and where it stands in the platform's log.
struct LoggedText {
    SectionedText text;
    std::optional<ports::LogPosition> end; ///< Behind the record that holds the text; nothing when that is not known.
};

/// Encodes how @p to differs from @p from, which may be empty. The size does not depend on what they have in common, but for a few bytes for each run of common
/// sections. Thread-safe.
std::string encodedChange(const SectionedText &from, const LoggedText &to);
/// Applies an encoded change to the text from which it begins. Nothing when @p change is malformed, begins from another text, or leads to another one than it
/// states. Thread-safe.
std::optional<LoggedText> appliedChange(const SectionedText &from, std::string_view change);

}
