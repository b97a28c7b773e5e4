#include "configurations/textchange.h"

#include "configurations/internal/generated/textchange_generated.h"

#include <algorithm>
#include <unordered_map>

namespace rosemaryshift::configurations {

namespace {

using Sections = std::span<const std::shared_ptr<const Section>>;

/// Most sections that a text may have; a change can name the same section again and again.
constexpr std::size_t MaxSections = 200'000;

bool isDigest(const flatbuffers::Vector<std::uint8_t> *bytes, const Digest &digest)
{
    return bytes != nullptr && std::ranges::equal(*bytes, digest);
}

/// Position of @p section in @p from, at best @p expected; nothing when it is not there.
std::optional<std::size_t>
positionOf(const Section *section, Sections from, const std::unordered_map<const Section *, std::size_t> &positions, std::size_t expected)
{
    if (expected < from.size() && from[expected].get() == section) {
        return expected;
    }
    const auto found = positions.find(section);
    return found == positions.end() ? std::nullopt : std::optional(found->second);
}

/// Appends what @p piece stands for to @p sections. Returns false when it is malformed.
bool appendPiece(const wire::Piece &piece, Sections from, std::vector<std::shared_ptr<const Section>> &sections)
{
    if (piece.count() > 0) {
        if (piece.first() > from.size() || piece.count() > from.size() - piece.first() || sections.size() + piece.count() > MaxSections) {
            return false;
        }
        const Sections kept = from.subspan(piece.first(), piece.count());
        sections.insert(sections.end(), kept.begin(), kept.end());
        return true;
    }
    if (piece.text() == nullptr || sections.size() == MaxSections) {
        return false;
    }
    const std::string_view text(piece.text()->c_str(), piece.text()->size());
    sections.push_back(std::make_shared<const Section>(Section{std::string(text), piece.is_route(), digestOf(text)}));
    return true;
}

}

std::string encodedChange(const SectionedText &from, const LoggedText &to)
{
    flatbuffers::FlatBufferBuilder builder;
    std::unordered_map<const Section *, std::size_t> positions;
    const Sections old = from.sections();
    for (std::size_t position = 0; position < old.size(); ++position) {
        positions.emplace(old[position].get(), position);
    }
    std::vector<flatbuffers::Offset<wire::Piece>> pieces;
    std::size_t runFirst = 0;
    std::size_t runCount = 0;
    const auto endRun = [&] {
        if (runCount > 0) {
            pieces.push_back(wire::CreatePiece(builder, static_cast<std::uint32_t>(runFirst), static_cast<std::uint32_t>(runCount)));
            runCount = 0;
        }
    };
    for (const std::shared_ptr<const Section> &section : to.text.sections()) {
        const std::optional<std::size_t> position = positionOf(section.get(), old, positions, runFirst + runCount);
        if (position && runCount > 0 && *position == runFirst + runCount) {
            ++runCount;
            continue;
        }
        endRun();
        if (position) {
            runFirst = *position;
            runCount = 1;
        } else {
            const flatbuffers::Offset<flatbuffers::String> text = builder.CreateString(section->text);
            pieces.push_back(wire::CreatePiece(builder, 0, 0, text, section->isRoute));
        }
    }
    endRun();
    const flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> begin = builder.CreateVector(from.digest().data(), from.digest().size());
    const flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> end = builder.CreateVector(to.text.digest().data(), to.text.digest().size());
    const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::Piece>>> allPieces = builder.CreateVector(pieces);
    wire::ChangeBuilder change(builder);
    change.add_from(begin);
    change.add_to(end);
    change.add_pieces(allPieces);
    change.add_position_known(to.end.has_value());
    if (to.end) {
        change.add_end_offset(to.end->offset);
        if (to.end->era) {
            change.add_end_era(*to.end->era);
        }
    }
    builder.Finish(change.Finish());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<LoggedText> appliedChange(const SectionedText &from, std::string_view change)
{
    flatbuffers::Verifier::Options options;
    options.max_tables = MaxSections + 1;
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(change.data()), change.size(), options);
    if (!wire::VerifyChangeBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::Change *const decoded = wire::GetChange(change.data());
    if (!isDigest(decoded->from(), from.digest()) || decoded->pieces() == nullptr) {
        return std::nullopt;
    }
    std::vector<std::shared_ptr<const Section>> sections;
    for (const wire::Piece *const piece : *decoded->pieces()) {
        if (!appendPiece(*piece, from.sections(), sections)) {
            return std::nullopt;
        }
    }
    LoggedText result{SectionedText(std::move(sections)), std::nullopt};
    if (!isDigest(decoded->to(), result.text.digest())) {
        return std::nullopt;
    }
    if (decoded->position_known()) {
        result.end = ports::LogPosition{decoded->end_offset(), decoded->end_era() ? ports::LogEra(*decoded->end_era()) : std::nullopt};
    }
    return result;
}

}
