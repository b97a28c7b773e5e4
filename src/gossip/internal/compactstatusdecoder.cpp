#include "gossip/internal/compactformat.h"
#include "gossip/internal/generated/peerstatus_generated.h"
#include "gossip/internal/statusforms.h"

#include <boost/endian/conversion.hpp>

#include <cmath>
#include <cstring>

namespace rosemaryshift::gossip {

namespace {

using flatbuffers::Vector;

/// Nesting that the decoder accepts; the schema has three levels.
constexpr flatbuffers::uoffset_t MaxDepth = 8;
/// Number of tables that the decoder accepts in one datagram.
constexpr flatbuffers::uoffset_t MaxTables = 10'000;

template <typename Value>
std::optional<Value> fromWire(const flatbuffers::Optional<Value> &value)
{
    return value ? std::optional<Value>(*value) : std::nullopt;
}

/// The elements of @p list, which may be missing.
template <typename Element, typename Function>
void forEach(const Vector<Element> *list, Function function)
{
    if (list != nullptr) {
        for (const auto element : *list) {
            function(element);
        }
    }
}

std::string text(const flatbuffers::String *value)
{
    return value == nullptr ? std::string() : value->str();
}

std::string bytes(const Vector<std::uint8_t> *value)
{
    return value == nullptr ? std::string() : std::string(reinterpret_cast<const char *>(value->data()), value->size());
}

/// The dotted form of an IPv4 @p address. The system's function takes most of the time that a status with hundreds of peers takes.
std::string addressText(std::uint32_t address)
{
    std::string text = std::to_string(address >> 24U);
    for (const unsigned int shift : {16U, 8U, 0U}) {
        text += '.';
        text += std::to_string((address >> shift) & 0xffU);
    }
    return text;
}

/// Decodes one status.
class Decoder
{
public:
    explicit Decoder(const wire::Status &status)
        : m_wire(status)
        , m_names(namesOf(status))
    {
    }

    std::optional<PeerStatus> decode()
    {
        PeerStatus status;
        status.host = m_wire.host()->str();
        status.start = m_wire.start()->str();
        status.zone = m_wire.zone()->str();
        status.address = m_wire.address()->str();
        status.sentUs = m_wire.sent_us();
        status.interval = boundedInterval(m_wire.interval_ms());
        status.readsCompact = true;
        status.configuration = m_wire.configuration();
        status.confirmedAgeMs = fromWire(m_wire.confirmed_age_ms());
        status.listReachableMs = fromWire(m_wire.list_reachable_ms());
        status.wallUs = m_wire.wall_us();
        status.holdsDuties = m_wire.holds_duties();
        status.leaving = m_wire.leaving();
        status.forwardingToken = text(m_wire.forwarding_token());
        readNumbers(status);
        readEvidence(status);
        forEach(m_wire.unreached_services(), [&status](const flatbuffers::String *service) { status.unreachedServices.push_back(text(service)); });
        forEach(m_wire.channels(), [&status](const wire::Channel *channel) { status.channels.push_back({channel->id(), bytes(channel->content())}); });
        status.peersUnchanged = m_wire.peers() == nullptr;
        forEach(m_wire.peers(), [&status](std::uint32_t address) { status.peers.push_back(addressText(address)); });
        return m_valid ? std::optional(std::move(status)) : std::nullopt;
    }

private:
    static std::vector<std::string_view> namesOf(const wire::Status &status)
    {
        std::vector<std::string_view> names;
        std::string_view rest = status.names() == nullptr ? std::string_view() : status.names()->string_view();
        for (std::size_t end = rest.find(NameEnd); end != std::string_view::npos; end = rest.find(NameEnd)) {
            names.push_back(rest.substr(0, end));
            rest.remove_prefix(end + 1);
        }
        return names;
    }

    std::string name(std::uint16_t index)
    {
        if (index >= m_names.size()) {
            m_valid = false;
            return {};
        }
        return std::string(m_names[index]);
    }

    void readRates(const Vector<const wire::Rate *> *rates, std::map<std::string, double> &into)
    {
        forEach(rates, [this, &into](const wire::Rate *rate) {
            m_valid = m_valid && std::isfinite(rate->value()) && rate->value() >= 0;
            into.emplace_hint(into.end(), name(rate->name()), rate->value());
        });
    }

    void readCounts(const Vector<const wire::Count *> *counts, std::map<std::string, std::uint64_t> &into)
    {
        forEach(counts, [this, &into](const wire::Count *count) { into.emplace_hint(into.end(), name(count->name()), count->value()); });
    }

    void readRequests(const wire::ProcessUsage &usage, duties::UsageCounts &into)
    {
        forEach(usage.counts(), [this, &into](const wire::RequestCount *count) { into.emplace_hint(into.end(), name(count->name()), count->requests()); });
    }

    void readNumbers(PeerStatus &status)
    {
        readRates(m_wire.demand(), status.demand);
        readCounts(m_wire.used(), status.used);
        readRates(m_wire.busy(), status.busy);
        forEach(m_wire.outstanding(), [this, &status](const wire::Load *load) {
            status.outstanding.emplace_hint(status.outstanding.end(), name(load->name()), balancing::Outstanding{load->running(), load->prefill_tokens()});
        });
        forEach(m_wire.usage(),
                [this, &status](const wire::ProcessUsage *usage) { readRequests(*usage, status.usage[usage->window()][text(usage->process())]); });
    }

    void readEvidence(PeerStatus &status)
    {
        forEach(m_wire.limits(), [this, &status](const wire::Limit *limit) {
            const std::optional<double> perSecond = fromWire(limit->per_second());
            m_valid = m_valid && (!perSecond || (std::isfinite(*perSecond) && *perSecond >= 0));
            status.upstreamLimits.push_back({text(limit->instance()), perSecond, limit->age_ms()});
        });
        forEach(m_wire.suspects(), [this, &status](const wire::Suspect *suspect) {
            m_valid = m_valid && suspect->kind() <= static_cast<std::uint8_t>(quarantine::SuspectKind::Request);
            quarantine::SuspectReport report;
            report.id = {static_cast<quarantine::SuspectKind>(suspect->kind()), suspect->number()};
            report.service = text(suspect->service());
            report.quarantined = suspect->quarantined();
            report.completedAgeMs = fromWire(suspect->completed_age_ms());
            forEach(suspect->crashes(), [&report](const wire::Crash *crash) {
                report.crashes.push_back({text(crash->instance()), crash->age_ms(), fromWire(crash->present_ms())});
            });
            status.suspects.push_back(std::move(report));
        });
        forEach(m_wire.versions(), [&status](const wire::Version *version) {
            status.versions.push_back({{text(version->service()), text(version->software_version())}, version->age_ms()});
        });
        forEach(m_wire.streams(), [&status](const wire::StreamGroup *group) {
            forEach(group->keys(), [&status, group](std::uint64_t key) { status.streams.add(key, {text(group->service()), text(group->software_version())}); });
        });
    }

    const wire::Status &m_wire;
    const std::vector<std::string_view> m_names;
    bool m_valid = true;
};

}

bool isCompactStatus(std::string_view datagram)
{
    return datagram.size() > CompactStatus::HeaderBytes && datagram.starts_with(CompactMark);
}

std::optional<PeerStatus> decodedCompactStatus(std::string_view datagram)
{
    // The reader needs aligned bytes, which a view into a larger buffer need not have.
    const std::string_view body = datagram.substr(CompactStatus::HeaderBytes);
    if (boost::endian::load_little_u16(reinterpret_cast<const unsigned char *>(&datagram[BodyBytesAt])) != body.size()) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> aligned((body.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    std::memcpy(aligned.data(), body.data(), body.size());
    const std::uint8_t *const bytes = reinterpret_cast<const std::uint8_t *>(aligned.data());
    flatbuffers::Verifier verifier(bytes, body.size(), MaxDepth, MaxTables);
    if (!wire::VerifyStatusBuffer(verifier)) {
        return std::nullopt;
    }
    std::optional<PeerStatus> status = Decoder(*wire::GetStatus(bytes)).decode();
    if (status && datagram[EchoFlagAt] != 0) {
        status->echoUs = boost::endian::load_little_u64(reinterpret_cast<const unsigned char *>(&datagram[EchoAt]));
    }
    return status;
}

}
