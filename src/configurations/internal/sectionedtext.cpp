#include "configurations/sectionedtext.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/evp.h>

#include <cstring>
#include <unordered_map>

namespace rosemaryshift::configurations {

namespace {

struct DigestHash {
    std::size_t operator()(const Digest &digest) const
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.data(), sizeof hash);
        return hash;
    }
};

std::shared_ptr<const Section> makeSection(const TextSection &section, const Digest &digest)
{
    return std::make_shared<const Section>(Section{std::string(section.text), section.isRoute, digest});
}

}

Digest digestOf(std::string_view bytes)
{
    Digest digest{};
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

std::string hexadecimal(const Digest &digest)
{
    std::string text;
    boost::algorithm::hex_lower(digest.begin(), digest.end(), std::back_inserter(text));
    return text;
}

SectionedText::SectionedText(std::vector<std::shared_ptr<const Section>> sections)
    : m_sections(std::move(sections))
{
    std::string digests;
    digests.reserve(m_sections.size() * (sizeof(Digest) + 1));
    for (const std::shared_ptr<const Section> &section : m_sections) {
        m_bytes += section->text.size();
        digests.append(section->digest.begin(), section->digest.end());
        digests.push_back(section->isRoute ? '\1' : '\0');
    }
    m_digest = digestOf(digests);
}

SectionedText::SectionedText(std::span<const TextSection> sections, const SectionedText &known)
{
    std::unordered_map<Digest, std::shared_ptr<const Section>, DigestHash> knownSections;
    for (const std::shared_ptr<const Section> &section : known.m_sections) {
        knownSections.emplace(section->digest, section);
    }
    std::vector<std::shared_ptr<const Section>> shared;
    shared.reserve(sections.size());
    for (const TextSection &section : sections) {
        const Digest digest = digestOf(section.text);
        const auto found = knownSections.find(digest);
        const bool isKnown = found != knownSections.end() && found->second->isRoute == section.isRoute;
        shared.push_back(isKnown ? found->second : makeSection(section, digest));
    }
    *this = SectionedText(std::move(shared));
}

std::span<const std::shared_ptr<const Section>> SectionedText::sections() const
{
    return m_sections;
}

const Digest &SectionedText::digest() const
{
    return m_digest;
}

std::size_t SectionedText::bytes() const
{
    return m_bytes;
}

bool SectionedText::empty() const
{
    return m_sections.empty();
}

std::string SectionedText::text() const
{
    std::string text;
    text.reserve(m_bytes);
    for (const std::shared_ptr<const Section> &section : m_sections) {
        text += section->text;
    }
    return text;
}

std::string SectionedText::textWithoutRoutes() const
{
    std::string text;
    for (const std::shared_ptr<const Section> &section : m_sections) {
        text += section->isRoute ? std::string_view() : std::string_view(section->text);
    }
    return text;
}

}
