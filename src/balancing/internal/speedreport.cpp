#include "balancing/internal/speedreport.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::balancing {

namespace {

/// Size of an entry: hash, ratio, weight and age of the samples, statement and its age.
constexpr std::size_t EntryBytes = 9;
/// Entries of one report. The content goes to each host with each status.
constexpr std::size_t MaxEntries = 32;
/// Entries up to which a report is read.
constexpr std::size_t MaxReadEntries = 256;
/// Steps of the encoded values.
constexpr double LogRatioStep = 0.02;
constexpr double WeightStep = 0.1;
constexpr double SlownessStep = 0.02;
constexpr std::chrono::milliseconds AgeStep{20};
constexpr int LogRatioZero = 128;
constexpr int MaxByte = 255;

char byteOf(double value)
{
    return static_cast<char>(static_cast<unsigned char>(std::clamp(std::lround(value), 0L, static_cast<long>(MaxByte))));
}

char byteOf(Duration age)
{
    return byteOf(static_cast<double>(age.count()) / static_cast<double>(Duration(AgeStep).count()));
}

}

std::string encodedSpeedReport(std::vector<SpeedEntry> entries)
{
    if (entries.empty()) {
        return {};
    }
    if (entries.size() > MaxEntries) {
        std::ranges::partial_sort(entries, entries.begin() + MaxEntries, std::ranges::greater(), &SpeedEntry::weight);
        entries.resize(MaxEntries);
    }
    std::string bytes(1, static_cast<char>(EntryBytes));
    for (const SpeedEntry &entry : entries) {
        for (unsigned int shift = 0; shift < 32; shift += 8) {
            bytes += static_cast<char>((entry.upstream >> shift) & 0xFFU);
        }
        bytes += byteOf(entry.logRatio / LogRatioStep + LogRatioZero);
        bytes += byteOf(entry.weight / WeightStep);
        bytes += byteOf(entry.age);
        bytes += byteOf(entry.statedSlowness ? std::max(1.0, *entry.statedSlowness / SlownessStep) : 0);
        bytes += byteOf(entry.statedAge);
    }
    return bytes;
}

std::optional<std::vector<SpeedEntry>> decodedSpeedReport(std::string_view content)
{
    const auto number = [content](std::size_t position) { return static_cast<unsigned int>(static_cast<unsigned char>(content[position])); };
    const std::size_t size = content.empty() ? 0 : number(0);
    if (size < EntryBytes || (content.size() - 1) % size != 0 || content.size() / size > MaxReadEntries) {
        return std::nullopt;
    }
    std::vector<SpeedEntry> entries;
    for (std::size_t at = 1; at < content.size(); at += size) {
        SpeedEntry entry;
        for (unsigned int byte = 0; byte < 4; ++byte) {
            entry.upstream |= number(at + byte) << (8 * byte);
        }
        entry.logRatio = (static_cast<double>(number(at + 4)) - LogRatioZero) * LogRatioStep;
        entry.weight = number(at + 5) * WeightStep;
        entry.age = AgeStep * static_cast<int>(number(at + 6));
        if (number(at + 7) > 0) {
            entry.statedSlowness = number(at + 7) * SlownessStep;
            entry.statedAge = AgeStep * static_cast<int>(number(at + 8));
        }
        entries.push_back(entry);
    }
    return entries;
}

}
