#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::configurations {

/// SHA-256 (FIPS 180-4).
using Digest = std::array<unsigned char, 32>;

/// A part of a text that is not copied. Valid as long as the text.
struct TextSection {
    std::string_view text;
    bool isRoute = false; ///< Holds one route, with the separator behind it.
};

/// A part of the text of a configuration. Immutable, hence thread-safe.
struct Section {
    std::string text;
    bool isRoute = false;
    Digest digest{}; ///< Of the text.
};

/// The text of a configuration in consecutive sections. Texts that have sections in common share them. Immutable but for assignment; not thread-safe.
class SectionedText
{
public:
    SectionedText() = default;
    explicit SectionedText(std::vector<std::shared_ptr<const Section>> sections);
    /// Copies @p sections, but for those that @p known has, too.
    SectionedText(std::span<const TextSection> sections, const SectionedText &known);

    [[nodiscard]] std::span<const std::shared_ptr<const Section>> sections() const;
    /// Tells texts with different sections apart. Takes time with the number of sections, not with their size.
    [[nodiscard]] const Digest &digest() const;
    /// Size of the text, in bytes.
    [[nodiscard]] std::size_t bytes() const;
    [[nodiscard]] bool empty() const;
    /// The whole text.
    [[nodiscard]] std::string text() const;
    /// The text without the sections that hold a route.
    [[nodiscard]] std::string textWithoutRoutes() const;

private:
    std::vector<std::shared_ptr<const Section>> m_sections;
    std::size_t m_bytes = 0;
    Digest m_digest{};
};

/// The digest of @p bytes. Thread-safe.
Digest digestOf(std::string_view bytes);
/// @p digest in lower-case hexadecimal digits. Thread-safe.
std::string hexadecimal(const Digest &digest);

}
