#include "configurations/changesource.h"

#include "configurations/compression.h"

#include <algorithm>

namespace rosemaryshift::configurations {

namespace {

/// Number of texts that are kept. They share what they have in common.
constexpr std::size_t KeptTexts = 8;
/// Largest accepted change, as large as an answer of a peer may be that is not compressed.
constexpr std::size_t MaxChangeBytes = 8UL * 1024 * 1024;

}

void ChangeSource::add(LoggedText text)
{
    m_bodies.clear();
    m_texts.push_back(std::move(text));
    if (m_texts.size() > KeptTexts) {
        m_texts.pop_front();
    }
}

const SectionedText &ChangeSource::current() const
{
    static const SectionedText None;
    return m_texts.empty() ? None : m_texts.back().text;
}

void ChangeSource::setEnd(ports::LogPosition end)
{
    if (!m_texts.empty() && m_texts.back().end != end) {
        m_texts.back().end = end;
        m_bodies.clear();
    }
}

const std::string &ChangeSource::body(const std::string &digest)
{
    const auto base = std::ranges::find_if(m_texts, [&digest](const LoggedText &text) { return hexadecimal(text.text.digest()) == digest; });
    const bool isKnown = base != m_texts.end();
    const auto [body, isNew] = m_bodies.try_emplace(isKnown ? digest : std::string());
    if (isNew) {
        body->second = deflated(encodedChange(isKnown ? base->text : SectionedText(), m_texts.back()));
    }
    return body->second;
}

std::optional<LoggedText> textOfBody(const SectionedText &known, std::string_view body)
{
    const std::optional<std::string> change = inflated(body, MaxChangeBytes);
    if (!change) {
        return std::nullopt;
    }
    std::optional<LoggedText> text = appliedChange(known, *change);
    return text ? std::move(text) : appliedChange(SectionedText(), *change);
}

}
