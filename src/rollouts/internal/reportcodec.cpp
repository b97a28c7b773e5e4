#include "rollouts/reportcodec.h"

namespace rosemaryshift::rollouts {

namespace {

constexpr std::uint64_t FormatVersion = 1;
constexpr std::uint64_t MaxReports = 64;
constexpr std::uint64_t MaxRoutes = 4'096;
constexpr std::uint64_t MaxNameBytes = 1'024;
/// Longest accepted duration, and age, of an order: a day.
constexpr std::uint64_t MaxMilliseconds = 86'400'000;
constexpr std::uint64_t MaxCount = UINT32_MAX;

/// Appends numbers of variable length (LEB128) and texts.
class Writer
{
public:
    void number(std::uint64_t value)
    {
        for (; value >= 0x80U; value >>= 7U) {
            m_bytes += static_cast<char>(value | 0x80U);
        }
        m_bytes += static_cast<char>(value);
    }

    void text(std::string_view value)
    {
        number(value.size());
        m_bytes += value;
    }

    std::string take()
    {
        return std::move(m_bytes);
    }

private:
    std::string m_bytes;
};

/// Reads what a Writer has written. After an error all values are 0 or empty.
class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    std::uint64_t number(std::uint64_t maximum)
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            if (m_bytes.empty()) {
                break;
            }
            const std::uint64_t byte = static_cast<unsigned char>(m_bytes.front());
            m_bytes.remove_prefix(1);
            value |= (byte & 0x7fU) << shift;
            if (byte < 0x80U) {
                return value <= maximum ? value : fail();
            }
        }
        return fail();
    }

    std::string text()
    {
        const std::uint64_t size = number(MaxNameBytes);
        if (size > m_bytes.size()) {
            fail();
            return {};
        }
        const std::string value(m_bytes.substr(0, size));
        m_bytes.remove_prefix(size);
        return value;
    }

    [[nodiscard]] bool failed() const
    {
        return m_failed;
    }

    [[nodiscard]] bool atEnd() const
    {
        return m_bytes.empty();
    }

private:
    std::uint64_t fail()
    {
        m_failed = true;
        m_bytes = {};
        return 0;
    }

    std::string_view m_bytes;
    bool m_failed = false;
};

/// Most classes are empty, so that only the others are written, each with its number.
void write(Writer &writer, const AnswerCounts &counts)
{
    writer.number(counts.failures);
    std::uint32_t used = 0;
    for (std::size_t number = 0; number < TimeClasses; ++number) {
        used |= counts.times[number] > 0 ? 1U << number : 0U;
    }
    writer.number(used);
    for (const std::uint32_t count : counts.times) {
        if (count > 0) {
            writer.number(count);
        }
    }
}

AnswerCounts readCounts(Reader &reader)
{
    AnswerCounts counts;
    counts.failures = static_cast<std::uint32_t>(reader.number(MaxCount));
    const std::uint64_t used = reader.number((1U << TimeClasses) - 1);
    for (std::size_t number = 0; number < TimeClasses; ++number) {
        counts.times[number] = ((used >> number) & 1U) != 0 ? static_cast<std::uint32_t>(reader.number(MaxCount)) : 0;
    }
    return counts;
}

void write(Writer &writer, const Report &report)
{
    writer.number(report.id);
    writer.text(report.order.service);
    writer.text(report.order.version);
    writer.number(static_cast<std::uint64_t>(report.order.duration.count()));
    writer.number(report.age ? std::min(static_cast<std::uint64_t>(report.age->count()) + 1, MaxMilliseconds) : 0);
    writer.number(static_cast<std::uint64_t>(report.state));
    writer.number(report.recorded ? 1 : 0);
    writer.number(report.holderToken);
    writer.number(report.evidence.requests);
    writer.number(report.evidence.exposed);
    writer.number(report.evidence.failedUpstreams);
    writer.number(report.evidence.routes.size());
    for (const auto &[route, counts] : report.evidence.routes) {
        writer.number(route);
        write(writer, counts.before);
        write(writer, counts.rolledOut);
    }
}

Report readReport(Reader &reader)
{
    Report report;
    report.id = reader.number(UINT64_MAX);
    report.order.service = reader.text();
    report.order.version = reader.text();
    report.order.duration = std::chrono::milliseconds(reader.number(MaxMilliseconds));
    const std::uint64_t age = reader.number(MaxMilliseconds);
    if (age > 0) {
        report.age = std::chrono::milliseconds(age - 1);
    }
    report.state = static_cast<State>(reader.number(static_cast<std::uint64_t>(State::RolledBack)));
    report.recorded = reader.number(1) == 1;
    report.holderToken = reader.number(UINT64_MAX);
    report.evidence.requests = reader.number(MaxCount);
    report.evidence.exposed = reader.number(MaxCount);
    report.evidence.failedUpstreams = static_cast<std::uint32_t>(reader.number(MaxCount));
    const std::uint64_t routes = reader.number(MaxRoutes);
    for (std::uint64_t read = 0; read < routes && !reader.failed(); ++read) {
        const std::uint32_t route = static_cast<std::uint32_t>(reader.number(MaxCount));
        RouteCounts &counts = report.evidence.routes[route];
        counts.before = readCounts(reader);
        counts.rolledOut = readCounts(reader);
    }
    return report;
}

}

std::string encoded(const std::vector<Report> &reports)
{
    Writer writer;
    writer.number(FormatVersion);
    writer.number(reports.size());
    for (const Report &report : reports) {
        write(writer, report);
    }
    return writer.take();
}

std::optional<std::vector<Report>> decodedReports(std::string_view bytes)
{
    Reader reader(bytes);
    if (reader.number(UINT64_MAX) != FormatVersion) {
        return std::nullopt;
    }
    std::vector<Report> reports;
    const std::uint64_t count = reader.number(MaxReports);
    for (std::uint64_t read = 0; read < count && !reader.failed(); ++read) {
        Report report = readReport(reader);
        if (report.order.service.empty() || report.order.version.empty() || report.order.duration.count() == 0) {
            return std::nullopt;
        }
        reports.push_back(std::move(report));
    }
    if (reader.failed() || !reader.atEnd()) {
        return std::nullopt;
    }
    return reports;
}

}
