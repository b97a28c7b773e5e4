#include "../support/stage.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace rosemaryshift::review;

namespace {

constexpr int Count = 3;
constexpr int Streams = 16;
constexpr int Events = 60;
constexpr int EventPauseMs = 200;
/// A client tries twice to take a stream up.
constexpr int Tries = 2;
constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CannotRun = 2;

std::string chunk(const std::string &text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// Sends the events behind the one that the request names.
void stream(const Received &request, Reply &reply)
{
    const int first = std::atoi(request.field("last-event-id").c_str()) + 1;
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n";
    for (const auto &[name, value] : reply.fields) {
        head += name + ": " + value + "\r\n";
    }
    reply.sender = [first, head](const std::function<bool(const std::string &)> &send) {
        bool open = send(head + "\r\n");
        for (int number = first; open && number <= Events; ++number) {
            open = send(chunk("id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n"));
            sleepMs(EventPauseMs);
        }
        send("0\r\n\r\n");
    };
}

/// The id of the last whole event in @p body; empty when there is none.
std::string lastId(const std::string &body)
{
    const std::size_t end = body.rfind("\n\n");
    const std::size_t at = end == std::string::npos ? end : body.rfind("id: ", end);
    return at == std::string::npos ? std::string() : body.substr(at + 4, body.find('\n', at) - at - 4);
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
    std::vector<std::unique_ptr<Server>> servers;
    for (const std::string version : {"v1", "v1", "v2", "v2"}) {
        servers.push_back(std::make_unique<Server>(record, store, "i-000" + std::to_string(servers.size()), "models", stream, version));
    }
    Gateways gateways(record, arguments[1], store.endpoint(), cloud.endpoint(), Count);
    if (!gateways.awaitReady(20'000)) {
        std::puts("the gateways are not ready");
        return CannotRun;
    }
    sleepMs(3000);
    store.copy();
    sleepMs(1000);
    std::atomic<int> taken = 0;
    std::atomic<int> wentOn = 0;
    std::vector<std::thread> clients;
    for (int number = 0; number < Streams; ++number) {
        clients.emplace_back([&, number] {
            const std::string id = "first-" + std::to_string(number);
            const Answer begun = call(gateways.front(0), "POST", "/plan/" + id, clientLines(id, 15'000), "{}", 15'000);
            const std::string last = lastId(begun.body);
            record.write("client: " + id + " at " + Gateways::name(0) + " got " + std::to_string(begun.status) + ", events up to " + last);
            if (begun.complete || last.empty()) {
                return;
            }
            ++taken;
            for (int attempt = 0; attempt < Tries; ++attempt) {
                const std::string next = "next-" + std::to_string(number) + "-" + std::to_string(attempt);
                const int gateway = 1 + (number + attempt) % 2;
                const Answer rest = call(gateways.front(gateway),
                                         "POST",
                                         "/plan/" + id,
                                         clientLines(next, 8000) + "Resumes: " + id + "\r\nLast-Event-Id: " + last + "\r\n",
                                         "{}",
                                         8000);
                record.write("client: " + next + " at " + Gateways::name(gateway) + " resumes " + id + " after event " + last + ", got "
                             + std::to_string(rest.status) + " " + (rest.status == 200 ? "" : rest.body));
                if (rest.status == 200) {
                    ++wentOn;
                    return;
                }
                const auto wait = rest.fields.find("retry-after");
                sleepMs(wait == rest.fields.end() ? 0 : static_cast<int>(1000 * std::atof(wait->second.c_str())));
            }
        });
    }
    sleepMs(1500);
    if (hasTrouble()) {
        store.setAway(true);
        sleepMs(500);
        store.restore();
        store.setAway(false);
    }
    sleepMs(3500); // contact_ms, after which the machines are in touch again
    gateways.signal(0, SIGKILL);
    gateways.awaitEnd(0);
    std::atomic<int> begun = 0;
    for (int number = 0; number < Streams; ++number) {
        clients.emplace_back([&, number] {
            const std::string id = "new-" + std::to_string(number);
            const int gateway = 1 + number % 2;
            const Answer answer = call(gateways.front(gateway), "POST", "/plan/" + id, clientLines(id, 15'000), "{}", 15'000);
            record.write("client: " + id + " at " + Gateways::name(gateway) + " got " + std::to_string(answer.status));
            begun += answer.status == 200 ? 1 : 0;
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const std::string reason = std::to_string(wentOn) + " of " + std::to_string(taken) + " streams that were taken up went on; " + std::to_string(begun)
        + " of " + std::to_string(Streams) + " new ones began";
    record.write(reason);
    if (taken < 12 || begun == 0) {
        std::puts(("too few streams: " + reason).c_str());
        return CannotRun;
    }
    const bool broken = 2.0 * wentOn / taken < 1.0 * begun / Streams;
    std::puts(((broken ? "LOST is broken: " : "held: ") + reason).c_str());
    return broken ? Broken : Held;
}
