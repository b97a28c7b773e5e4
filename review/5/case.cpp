#include "../support/stage.h"

#include <json/writer.h>

#include <csignal>
#include <cstdio>

using namespace rosemaryshift::review;

namespace {

constexpr int Count = 3;
constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CannotRun = 2;

std::string countsOf(const DutyCall &call)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, call.body["counts"]);
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
            sleepMs(50);
        }
    });
    const auto finish = [&](int result, const std::string &reason) {
        stopping = true;
        client.join();
        record.write("result " + std::to_string(result) + ": " + reason);
        std::puts(reason.c_str());
        return result;
    };
    if (!gateways.awaitReady(20'000) || !await(30'000, [&] { return cloud.calls().size() >= 3; })) {
        return finish(CannotRun, "no holder has reported usage");
    }
    // The copy is from before the report of the next window, and a little over three seconds old when the store goes on from it.
    sleepMs(2500);
    store.copy();
    const std::size_t callsBefore = cloud.calls().size();
    if (!await(10'000, [&] { return cloud.calls().size() > callsBefore; })) {
        return finish(CannotRun, "no further report has come");
    }
    sleepMs(200);
    if (hasTrouble()) {
        store.setAway(true);
    }
    for (int index = 0; index < Count; ++index) {
        gateways.signal(index, SIGKILL);
    }
    for (int index = 0; index < Count; ++index) {
        gateways.awaitEnd(index);
    }
    sleepMs(500);
    if (hasTrouble()) {
        store.restore();
        store.setAway(false);
    }
    for (int index = 0; index < Count; ++index) {
        gateways.start(index);
    }
    sleepMs(15'000);
    std::map<std::string, std::string> countsByWindow;
    std::string reason;
    for (const DutyCall &call : cloud.calls()) {
        if (call.path != "/usage") {
            continue;
        }
        const std::string window = call.body["window_id"].asString();
        const std::string counts = countsOf(call);
        const auto [known, isNew] = countsByWindow.emplace(window, counts);
        if (!isNew && known->second != counts) {
            reason = "window " + window + " was reported as " + known->second + " and by " + call.holder + " as " + counts;
        }
    }
    return finish(reason.empty() ? Held : Broken, reason.empty() ? "held" : "ONE is broken: " + reason);
}
