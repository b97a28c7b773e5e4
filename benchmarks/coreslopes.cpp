#include "base/json.h"
#include "bookings/ibookingfold.h"
#include "decisions/idecisioncore.h"
#include "membership/heartbeatjson.h"
#include "membership/peertable.h"
#include "metrics/imetrics.h"
#include "platform/iplatform.h"
#include "requests/requestregistry.h"
#include "templates/itemplatefold.h"
#include "timeline/itimeline.h"
#include "timeline/timelinejson.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>
#include <vector>

using namespace rosemaryshift;

namespace {

constexpr std::size_t Samples = 10'000;
constexpr WorkspaceId Workspace{0};
constexpr TargetId Model{0};

/// Bytes that the process has allocated on the heap, mapped blocks included.
double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

timeline::EventFields routedFields(std::uint64_t number)
{
    return {.request = "entry-miskolc-1.0a1b2c3d-" + std::to_string(number),
            .attempt = std::to_string(number),
            .workspace = "yard",
            .upstream = "engine-miskolc-17",
            .detail = "12 candidates, 3 of ours in flight there"};
}

requests::RequestSpec chatSpec()
{
    requests::RequestSpec spec;
    spec.workspace = "yard";
    spec.target = "yard-small";
    spec.body = R"({"model":"yard-small","messages":[{"role":"user","content":")" + std::string(400, 'x') + R"("}]})";
    return spec;
}

std::string workspaceText(std::size_t number)
{
    return "workspace = \"w" + std::to_string(number) + "\"\nkey_sha256 = [\"" + std::string(64, 'a')
        + "\"]\n[limits]\nrequests_in_flight = 100\nrequests_queued = 100\n[[models]]\nname = \"yard-small\"\n[[models]]\nname = \"plan-large\"\n"
          "[[services]]\nname = \"dispatch\"\n";
}

void recordTimelineEvent(benchmark::State &state)
{
    const double before = allocatedBytes();
    const std::shared_ptr<timeline::ITimeline> record = timeline::makeTimeline(timeline::makeHybridClock(), "entry-miskolc-1", "0a1b2c3d", Samples);
    for (std::size_t i = 0; i < Samples; ++i) {
        record->record(timeline::EventKind::RequestRouted, routedFields(i));
    }
    state.counters["bytes_per_event"] = (allocatedBytes() - before) / Samples;
    state.counters["wire_bytes_per_event"] = static_cast<double>(timeline::toText(record->since({}).front()).size());
    std::uint64_t number = Samples;
    for (auto unused : state) {
        record->record(timeline::EventKind::RequestRouted, routedFields(++number));
    }
}

void keepFinishedRequest(benchmark::State &state)
{
    const std::size_t tokens = static_cast<std::size_t>(state.range(0));
    requests::RequestRegistry registry("entry-miskolc-1.0a1b2c3d", {std::chrono::minutes(5), Samples});
    const double before = allocatedBytes();
    std::uint64_t attempt = 0;
    const auto keepOne = [&] {
        const std::shared_ptr<requests::RequestRecord> record = registry.add(chatSpec());
        const AttemptId id{++attempt};
        record->transcript.open(id, 0);
        for (std::size_t i = 0; i < tokens; ++i) {
            record->transcript.append(id, {R"({"content":"word12 "})", "word12 "});
        }
        record->transcript.finish(id, "stop", 100);
        registry.markFinished(*record);
    };
    for (std::size_t i = 0; i < Samples / 10; ++i) {
        keepOne();
    }
    state.counters["bytes_per_request"] = (allocatedBytes() - before) / (Samples / 10.0);
    for (auto unused : state) {
        keepOne();
    }
}

void decideRequest(benchmark::State &state)
{
    const std::unique_ptr<decisions::IDecisionCore> core = decisions::makeDecisionCore({}, 1);
    const double before = allocatedBytes();
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        decisions::UpstreamListed listed{};
        listed.upstream = static_cast<UpstreamId>(i);
        listed.targets = {Model};
        listed.slots = 8;
        core->post(listed);
    }
    core->post(decisions::WorkspaceLimitsChanged{Workspace, 1'000'000, 1'000'000});
    TimePoint now{};
    core->tick(now);
    state.counters["bytes_per_upstream"] = (allocatedBytes() - before) / static_cast<double>(state.range(0));
    std::uint64_t number = 0;
    for (auto unused : state) {
        now += std::chrono::microseconds(100);
        decisions::RequestArrived arrived{};
        arrived.request = static_cast<RequestId>(++number);
        arrived.workspace = Workspace;
        arrived.target = Model;
        arrived.deadline = now + std::chrono::seconds(30);
        core->post(arrived);
        AttemptId attempt{};
        for (const decisions::Action &action : core->tick(now)) {
            if (const decisions::StartAttempt *const start = std::get_if<decisions::StartAttempt>(&action)) {
                attempt = start->attempt;
            }
        }
        core->post(decisions::AttemptEnded{attempt, decisions::AttemptOutcome::Completed});
        core->tick(now);
    }
}

void takeProgress(benchmark::State &state)
{
    const std::unique_ptr<decisions::IDecisionCore> core = decisions::makeDecisionCore({}, 1);
    decisions::UpstreamListed listed{};
    listed.upstream = UpstreamId{0};
    listed.targets = {Model};
    listed.slots = 8;
    core->post(listed);
    core->post(decisions::WorkspaceLimitsChanged{Workspace, 1'000, 1'000});
    decisions::RequestArrived arrived{};
    arrived.workspace = Workspace;
    arrived.target = Model;
    arrived.deadline = TimePoint(std::chrono::hours(24));
    core->post(arrived);
    AttemptId attempt{};
    for (const decisions::Action &action : core->tick(TimePoint{})) {
        if (const decisions::StartAttempt *const start = std::get_if<decisions::StartAttempt>(&action)) {
            attempt = start->attempt;
        }
    }
    TimePoint now{};
    for (auto unused : state) {
        now += std::chrono::microseconds(1);
        core->post(decisions::AttemptProgressed{attempt, 1});
        benchmark::DoNotOptimize(core->tick(now).size());
    }
}

void foldTemplate(benchmark::State &state)
{
    const std::size_t workspaces = static_cast<std::size_t>(state.range(0));
    const double before = allocatedBytes();
    const std::unique_ptr<templates::ITemplateFold> fold = templates::makeTemplateFold();
    std::uint64_t offset = 0;
    for (std::size_t i = 0; i < workspaces; ++i) {
        fold->apply(offset++, {"w" + std::to_string(i), 0, "c" + std::to_string(i), "committee", workspaceText(i)});
    }
    state.counters["bytes_per_workspace"] = (allocatedBytes() - before) / static_cast<double>(workspaces);
    std::uint64_t revision = 1;
    for (auto unused : state) {
        fold->apply(offset, {"w0", revision, "d" + std::to_string(offset), "committee", workspaceText(0)});
        revision = fold->inForce("w0")->stated.revision;
        ++offset;
    }
}

bookings::ClaimRecord claimOf(std::uint64_t number)
{
    const std::string digest(64, 'd');
    return {std::to_string(number) + digest, "entry-miskolc-1.0a1b2c3d-" + std::to_string(number), "entry-miskolc-1.0a1b2c3d", digest, 1'800'000'000'000};
}

void foldClaim(benchmark::State &state)
{
    const double before = allocatedBytes();
    const std::unique_ptr<bookings::IBookingFold> fold = bookings::makeBookingFold();
    std::uint64_t offset = 0;
    for (; offset < Samples; ++offset) {
        fold->apply(offset, claimOf(offset));
    }
    state.counters["bytes_per_key"] = (allocatedBytes() - before) / Samples;
    const std::string record = bookings::toRecord(claimOf(0));
    state.counters["wire_bytes_per_claim"] = static_cast<double>(record.size());
    for (auto unused : state) {
        const std::optional<bookings::BookingRecord> read = bookings::bookingFromRecord(record);
        benchmark::DoNotOptimize(fold->apply(offset++, *read));
    }
}

std::string hostListText(std::size_t rows)
{
    std::string text = R"({"version":1,"hosts":[)";
    for (std::size_t i = 0; i < rows; ++i) {
        text += (i == 0 ? "" : ",") + std::string(R"({"name":"engine-miskolc-)") + std::to_string(i)
            + R"(","kind":"engine","zone":"miskolc","address":"10.0.0.1:8000","targets":["yard-small","plan-large"],"slots":8,"price":1.25,"machine_class":"standard","reclaimable":true})";
    }
    return text + "]}";
}

void readHostList(benchmark::State &state)
{
    const std::size_t rows = static_cast<std::size_t>(state.range(0));
    const std::string text = hostListText(rows);
    state.counters["wire_bytes_per_row"] = static_cast<double>(text.size()) / static_cast<double>(rows);
    const double before = allocatedBytes();
    const std::optional<platform::HostList> list = platform::hostListFromJson(text);
    state.counters["bytes_per_row"] = (allocatedBytes() - before) / static_cast<double>(rows);
    for (auto unused : state) {
        benchmark::DoNotOptimize(platform::hostListFromJson(text));
    }
}

void takeHeartbeat(benchmark::State &state)
{
    const membership::Peer peer{"entry-miskolc-1", "0a1b2c3d", "miskolc", {"10.0.0.1", 8081}, {"10.0.0.1", 8080}, false};
    membership::PeerTable table({});
    const double before = allocatedBytes();
    for (std::size_t i = 0; i < Samples; ++i) {
        membership::Peer other = peer;
        other.name += std::to_string(i);
        table.recordHeartbeat(other, TimePoint{});
    }
    state.counters["bytes_per_peer"] = (allocatedBytes() - before) / Samples;
    const std::string text = toText(membership::toJson(peer));
    TimePoint now{};
    for (auto unused : state) {
        now += std::chrono::milliseconds(1);
        std::string reason;
        const std::optional<Json::Value> value = parseJson(text, reason);
        benchmark::DoNotOptimize(table.recordHeartbeat(*membership::peerFromJson(*value), now).size());
    }
}

void noteLatency(benchmark::State &state)
{
    const double before = allocatedBytes();
    const std::shared_ptr<metrics::IMetrics> metrics = metrics::makeMetrics();
    for (std::size_t i = 0; i < metrics::MaxWorkspaces; ++i) {
        metrics->recordTotalLatency({"w" + std::to_string(i), TrafficClass::Question}, std::chrono::milliseconds(5));
    }
    state.counters["bytes_per_series"] = (allocatedBytes() - before) / metrics::MaxWorkspaces;
    std::int64_t value = 0;
    for (auto unused : state) {
        metrics->recordTotalLatency({"w1", TrafficClass::Question}, std::chrono::microseconds(++value % 5'000));
    }
}

BENCHMARK(recordTimelineEvent);
BENCHMARK(keepFinishedRequest)->Arg(24)->Arg(316);
BENCHMARK(decideRequest)->Arg(9)->Arg(80)->Arg(1'600);
BENCHMARK(takeProgress);
BENCHMARK(foldTemplate)->Arg(1'000);
BENCHMARK(foldClaim);
BENCHMARK(readHostList)->Arg(36)->Arg(1'600);
BENCHMARK(takeHeartbeat);
BENCHMARK(noteLatency);

}

BENCHMARK_MAIN();
