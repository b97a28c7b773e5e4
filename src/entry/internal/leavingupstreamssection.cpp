#include "entry/internal/leavingupstreamssection.h"

#include "base/json.h"

#include <algorithm>

namespace rosemaryshift::entry {

namespace {

constexpr std::uint64_t MaxNoticeMs = 24ULL * 3600 * 1000;

std::optional<LeavingUpstream> leavingFromJson(const Json::Value &value)
{
    const std::optional<std::string> name = stringMember(value, "name");
    const std::optional<http::Endpoint> endpoint = http::Endpoint::parse(stringMember(value, "address").value_or(""));
    const std::optional<std::uint64_t> leavesIn = unsignedMember(value, "leaves_in_ms");
    if (!name || !endpoint || !leavesIn) {
        return std::nullopt;
    }
    return LeavingUpstream{*name, *endpoint, std::chrono::milliseconds(std::min(*leavesIn, MaxNoticeMs))};
}

}

LeavingUpstreamsSection::LeavingUpstreamsSection(UpstreamDirectory &upstreams, Clock clock)
    : m_upstreams(upstreams)
    , m_clock(std::move(clock))
{
}

std::string LeavingUpstreamsSection::name() const
{
    return "leaving";
}

Json::Value LeavingUpstreamsSection::write(const membership::Peer &)
{
    Json::Value list(Json::arrayValue);
    for (const LeavingUpstream &leaving : m_upstreams.recentlyLeaving(m_clock())) {
        Json::Value value;
        value["name"] = leaving.name;
        value["address"] = leaving.endpoint.text();
        value["leaves_in_ms"] = Json::UInt64(leaving.leavesIn.count());
        list.append(std::move(value));
    }
    return list;
}

void LeavingUpstreamsSection::read(const membership::Peer &, const Json::Value &value)
{
    if (!value.isArray()) {
        return;
    }
    for (const Json::Value &item : value) {
        const std::optional<LeavingUpstream> leaving = leavingFromJson(item);
        if (leaving) {
            m_upstreams.noteLeavingFromPeer(*leaving, m_clock());
        }
    }
}

}
