#include "gossip/internal/compactformat.h"
#include "gossip/internal/generated/peerstatus_generated.h"
#include "gossip/peerstatus.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <limits>

namespace rosemaryshift::gossip {

namespace {

using flatbuffers::Offset;
using flatbuffers::String;
using flatbuffers::Vector;

/// Collects the names that numbers of a status belong to, each once.
class Names
{
public:
    std::uint16_t index(const std::string &name)
    {
        const auto [entry, isNew] = m_indexes.try_emplace(name, static_cast<std::uint16_t>(m_indexes.size()));
        if (isNew) {
            m_text += name;
            m_text += NameEnd;
        }
        return entry->second;
    }

    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

private:
    std::map<std::string, std::uint16_t> m_indexes;
    std::string m_text;
};

template <typename Value>
flatbuffers::Optional<Value> toWire(const std::optional<Value> &value)
{
    return value ? flatbuffers::Optional<Value>(*value) : flatbuffers::nullopt;
}

std::vector<wire::Rate> toWire(const std::map<std::string, double> &rates, Names &names)
{
    std::vector<wire::Rate> all;
    for (const auto &[name, rate] : rates) {
        all.emplace_back(static_cast<float>(rate), names.index(name));
    }
    return all;
}

std::vector<wire::Count> toWire(const std::map<std::string, std::uint64_t> &counts, Names &names)
{
    std::vector<wire::Count> all;
    for (const auto &[name, count] : counts) {
        all.emplace_back(count, names.index(name));
    }
    return all;
}

std::vector<wire::Load> toWire(const std::map<std::string, balancing::Outstanding> &outstanding, Names &names)
{
    std::vector<wire::Load> all;
    for (const auto &[instance, load] : outstanding) {
        const std::uint64_t tokens = std::min<std::uint64_t>(load.prefillTokens, std::numeric_limits<std::uint32_t>::max());
        const std::uint32_t running = std::min<std::uint32_t>(load.running, std::numeric_limits<std::uint16_t>::max());
        all.emplace_back(static_cast<std::uint32_t>(tokens), static_cast<std::uint16_t>(running), names.index(instance));
    }
    return all;
}

std::vector<wire::RequestCount> requestCounts(const duties::UsageCounts &counts, Names &names)
{
    std::vector<wire::RequestCount> all;
    for (const auto &[workspace, count] : counts) {
        all.emplace_back(static_cast<std::uint32_t>(std::min<std::uint64_t>(count, std::numeric_limits<std::uint32_t>::max())), names.index(workspace));
    }
    return all;
}

std::vector<std::uint32_t> addressNumbers(const std::vector<std::string> &addresses)
{
    std::vector<std::uint32_t> numbers;
    for (const std::string &text : addresses) {
        boost::system::error_code error;
        const boost::asio::ip::address_v4 address = boost::asio::ip::make_address_v4(text, error);
        if (!error) {
            numbers.push_back(address.to_uint());
        }
    }
    return numbers;
}

/// Encodes one status.
class Encoder
{
public:
    std::string encode(const PeerStatus &status, bool withPeers)
    {
        const Offset<Vector<const wire::Rate *>> demand = m_builder.CreateVectorOfStructs(toWire(status.demand, m_names));
        const Offset<Vector<const wire::Count *>> used = m_builder.CreateVectorOfStructs(toWire(status.used, m_names));
        const Offset<Vector<const wire::Rate *>> busy = m_builder.CreateVectorOfStructs(toWire(status.busy, m_names));
        const Offset<Vector<const wire::Load *>> outstanding = m_builder.CreateVectorOfStructs(toWire(status.outstanding, m_names));
        const Offset<Vector<Offset<wire::ProcessUsage>>> usage = usageOf(status);
        const Offset<Vector<Offset<wire::Limit>>> limits = limitsOf(status);
        const Offset<Vector<Offset<wire::Suspect>>> suspects = suspectsOf(status);
        const Offset<Vector<Offset<wire::Version>>> versions = versionsOf(status);
        const Offset<Vector<Offset<wire::StreamGroup>>> streams = streamsOf(status);
        const Offset<Vector<Offset<String>>> unreached = m_builder.CreateVectorOfStrings(status.unreachedServices);
        const Offset<Vector<std::uint32_t>> peers = withPeers ? m_builder.CreateVector(addressNumbers(status.peers)) : Offset<Vector<std::uint32_t>>();
        const Offset<Vector<Offset<wire::Channel>>> channels = channelsOf(status);
        const Offset<String> names = m_builder.CreateString(m_names.text());
        const Offset<String> host = m_builder.CreateString(status.host);
        const Offset<String> start = m_builder.CreateString(status.start);
        const Offset<String> zone = m_builder.CreateString(status.zone);
        const Offset<String> address = m_builder.CreateString(status.address);
        const Offset<String> token = m_builder.CreateString(status.forwardingToken);
        m_builder.Finish(wire::CreateStatus(m_builder,
                                            host,
                                            start,
                                            zone,
                                            address,
                                            status.sentUs,
                                            static_cast<std::uint32_t>(status.interval.count()),
                                            status.configuration,
                                            toWire(status.confirmedAgeMs),
                                            toWire(status.listReachableMs),
                                            status.wallUs,
                                            status.holdsDuties,
                                            status.leaving,
                                            names,
                                            demand,
                                            used,
                                            busy,
                                            outstanding,
                                            usage,
                                            limits,
                                            suspects,
                                            versions,
                                            streams,
                                            token,
                                            unreached,
                                            peers,
                                            channels));
        return {reinterpret_cast<const char *>(m_builder.GetBufferPointer()), m_builder.GetSize()};
    }

private:
    Offset<Vector<Offset<wire::ProcessUsage>>> usageOf(const PeerStatus &status)
    {
        std::vector<Offset<wire::ProcessUsage>> all;
        for (const auto &[window, processes] : status.usage) {
            for (const auto &[process, counts] : processes) {
                const Offset<Vector<const wire::RequestCount *>> entries = m_builder.CreateVectorOfStructs(requestCounts(counts, m_names));
                all.push_back(wire::CreateProcessUsage(m_builder, window, m_builder.CreateSharedString(process), entries));
            }
        }
        return m_builder.CreateVector(all);
    }

    Offset<Vector<Offset<wire::Limit>>> limitsOf(const PeerStatus &status)
    {
        std::vector<Offset<wire::Limit>> all;
        for (const limits::LimitReport &report : status.upstreamLimits) {
            all.push_back(wire::CreateLimit(m_builder, m_builder.CreateString(report.instance), toWire(report.perSecond), report.ageMs));
        }
        return m_builder.CreateVector(all);
    }

    Offset<Vector<Offset<wire::Suspect>>> suspectsOf(const PeerStatus &status)
    {
        std::vector<Offset<wire::Suspect>> all;
        for (const quarantine::SuspectReport &report : status.suspects) {
            std::vector<Offset<wire::Crash>> crashes;
            for (const quarantine::CrashReport &crash : report.crashes) {
                crashes.push_back(wire::CreateCrash(m_builder, m_builder.CreateSharedString(crash.instance), crash.ageMs, toWire(crash.presentMs)));
            }
            const Offset<Vector<Offset<wire::Crash>>> crashList = m_builder.CreateVector(crashes);
            const Offset<String> service = m_builder.CreateSharedString(report.service);
            all.push_back(wire::CreateSuspect(
                m_builder, static_cast<std::uint8_t>(report.id.kind), report.id.number, service, crashList, report.quarantined, toWire(report.completedAgeMs)));
        }
        return m_builder.CreateVector(all);
    }

    Offset<Vector<Offset<wire::Version>>> versionsOf(const PeerStatus &status)
    {
        std::vector<Offset<wire::Version>> all;
        for (const streams::VersionReport &report : status.versions) {
            const Offset<String> service = m_builder.CreateSharedString(report.version.service);
            all.push_back(wire::CreateVersion(m_builder, service, m_builder.CreateSharedString(report.version.softwareVersion), report.ageMs));
        }
        return m_builder.CreateVector(all);
    }

    Offset<Vector<Offset<wire::StreamGroup>>> streamsOf(const PeerStatus &status)
    {
        std::vector<Offset<wire::StreamGroup>> all;
        for (const auto &[service, versions] : status.streams.streams) {
            for (const auto &[version, keys] : versions) {
                const Offset<String> serviceName = m_builder.CreateSharedString(service);
                const Offset<String> versionName = m_builder.CreateSharedString(version);
                all.push_back(wire::CreateStreamGroup(m_builder, serviceName, versionName, m_builder.CreateVector(keys)));
            }
        }
        return m_builder.CreateVector(all);
    }

    Offset<Vector<Offset<wire::Channel>>> channelsOf(const PeerStatus &status)
    {
        std::vector<Offset<wire::Channel>> all;
        for (const ChannelContent &content : status.channels) {
            const std::uint8_t *const bytes = reinterpret_cast<const std::uint8_t *>(content.bytes.data());
            all.push_back(wire::CreateChannel(m_builder, content.channel, m_builder.CreateVector(bytes, content.bytes.size())));
        }
        return m_builder.CreateVector(all);
    }

    flatbuffers::FlatBufferBuilder m_builder;
    Names m_names;
};

}

CompactStatus::CompactStatus(const PeerStatus &status, bool withPeers)
    : m_body(Encoder().encode(status, withPeers))
{
}

std::array<char, CompactStatus::HeaderBytes> CompactStatus::header(std::optional<std::uint64_t> echoUs) const
{
    std::array<char, HeaderBytes> header{};
    std::ranges::copy(CompactMark, header.begin());
    boost::endian::store_little_u16(reinterpret_cast<unsigned char *>(&header[BodyBytesAt]), static_cast<std::uint16_t>(m_body.size()));
    if (echoUs) {
        header[EchoFlagAt] = 1;
        boost::endian::store_little_u64(reinterpret_cast<unsigned char *>(&header[EchoAt]), *echoUs);
    }
    return header;
}

std::string_view CompactStatus::body() const
{
    return m_body;
}

}
