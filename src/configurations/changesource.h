#pragma once

#include "configurations/textchange.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace rosemaryshift::configurations {

/// The last texts of the configuration that were in force on a host, from which it sends peers what they lack. Each body is made once, however many peers ask.
/// Not thread-safe.
class ChangeSource
{
public:
    /// Adds the text that is newly in force.
    void add(LoggedText text);
    /// The text in force; empty before the first one.
    [[nodiscard]] const SectionedText &current() const;
    /// Sets where the text in force stands in the platform's log, when that is learned later.
    void setEnd(ports::LogPosition end);
    /// Compressed change from the text with the digest @p digest, in hexadecimal digits, to the one in force; from an empty text when the former is not known.
    /// The reference is valid until the next call of a method that is not const. Precondition: there is a text in force.
    const std::string &body(const std::string &digest);

private:
    std::deque<LoggedText> m_texts;              ///< The oldest one first.
    std::map<std::string, std::string> m_bodies; ///< Bodies that were asked for, by the digest from which they begin.
};

/// The text to which the body @p body of a ChangeSource leads from @p known or from an empty text. Nothing when it is malformed. Thread-safe.
std::optional<LoggedText> textOfBody(const SectionedText &known, std::string_view body);

}
