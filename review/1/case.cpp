#include "../support/stage.h"

#include <csignal>
#include <cstdio>

using namespace rosemaryshift::review;

namespace {

constexpr int Count = 3;
constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CannotRun = 2;
/// Calls within this time after the end of a disruption are left out.
constexpr double ExcusedSeconds = 3;

int indexOf(const std::string &holder)
{
    for (int index = 0; index < Count; ++index) {
        if (Gateways::name(index) == holder) {
            return index;
        }
    }
    return -1;
}

}

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 3) {
        return CannotRun;
    }
    Record record(arguments[2]);
    Store store(record);
    Cloud cloud(record);
    store.put("keyed.op", "config", configuration(1));
    const Server first(record, store, "i-0001", "dispatch");
    const Server second(record, store, "i-0002", "dispatch");
    Gateways gateways(record, arguments[1], store.endpoint(), cloud.endpoint(), Count);
    std::atomic<bool> stopping = false;
    std::thread client([&] {
        for (int number = 0; !stopping; ++number) {
            const Answer answer = call(
                gateways.front(number % Count), "POST", "/booking/" + std::to_string(number), clientLines("a" + std::to_string(number), 1000), "{}", 1500);
            record.write("client: a" + std::to_string(number) + " at " + Gateways::name(number % Count) + " got " + std::to_string(answer.status));
            sleepMs(100);
        }
    });
    const auto finish = [&](int result, const std::string &reason) {
        stopping = true;
        client.join();
        record.write("result " + std::to_string(result) + ": " + reason);
        std::puts(reason.c_str());
        return result;
    };
    if (!gateways.awaitReady(20'000) || !await(30'000, [&] { return cloud.calls().size() >= 2; })) {
        return finish(CannotRun, "no holder has reported usage");
    }
    // Planned work: the machine that holds the duties is stopped just after a report, and another one takes over.
    const int holder = indexOf(cloud.calls().back().holder);
    sleepMs(1200);
    store.copy();
    const std::size_t callsBefore = cloud.calls().size();
    sleepMs(800);
    gateways.signal(holder, SIGTERM);
    if (!await(10'000, [&] { return cloud.calls().size() > callsBefore; })) {
        return finish(CannotRun, "no other machine has taken over");
    }
    gateways.awaitEnd(holder);
    gateways.start(holder);
    if (hasTrouble()) {
        store.setAway(true);
        sleepMs(500);
        store.restore();
        store.setAway(false);
    }
    const double backAt = record.seconds();
    sleepMs(20'000);
    unsigned long long highest = 0;
    std::string highestHolder;
    std::map<unsigned long long, std::set<std::string>> holders;
    std::string reason;
    for (const DutyCall &call : cloud.calls()) {
        holders[call.fence].insert(call.holder);
        if (call.fence < highest && call.at > backAt + ExcusedSeconds) {
            reason = call.path + " from " + call.holder + " with token " + std::to_string(call.fence) + " after token " + std::to_string(highest) + " from "
                + highestHolder;
        }
        if (call.fence >= highest) {
            highest = call.fence;
            highestHolder = call.holder;
        }
    }
    for (const auto &[fence, names] : holders) {
        if (names.size() > 1) {
            reason += (reason.empty() ? "" : "; ") + std::string("two holders sent token ") + std::to_string(fence);
        }
    }
    return finish(reason.empty() ? Held : Broken, reason.empty() ? "held" : "ONE is broken: " + reason);
}
