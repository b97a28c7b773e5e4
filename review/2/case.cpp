#include "../support/stage.h"

#include <cmath>
#include <csignal>
#include <cstdio>

using namespace rosemaryshift::review;

namespace {

constexpr int Count = 2;
constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CannotRun = 2;
/// memory_mb of the site's machines.
constexpr unsigned long long MemoryLimit = 260ULL * 1024 * 1024;
/// Bytes that the faulty servers send together in a hundredth of a second: 800 Mbit/s to each gateway, where the link of a machine has 1,000.
constexpr std::size_t PieceBytes = 2'000'000;
/// Requests that may be lost before the rule is broken.
constexpr int LostThatCount = 3;
/// Until the machines have been in touch for contact_ms.
constexpr int CalmMs = 4000;
constexpr double LengthSeconds = 24;
/// Servers, and how many of them are faulty: 0.6 of them.
constexpr int Servers = 5;
constexpr int FaultyServers = 3;
/// A faulty server spoils one answer of this many: 0.03 of them.
constexpr int AnswersForOneSpoilt = 33;
/// The servers are faulty for 5 seconds at a time, with a second between.
constexpr double FaultySeconds = 5.0;
constexpr double PeriodSeconds = 6.0;
constexpr int ClientsForEach = 10;

std::string streamEvents()
{
    std::string events;
    for (int number = 1; number <= 3; ++number) {
        events += "id: " + std::to_string(number) + "\ndata: token\n\n";
    }
    return events;
}

/// The head of a sound answer, and then the size of a chunk whose line does not end.
void sendWithoutEnd(const std::string &id, const std::function<bool(const std::string &)> &send)
{
    static std::atomic<int> senders = 0;
    ++senders;
    const std::string piece(PieceBytes, 'x');
    std::string next = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Rosemaryshift-Attempt-Id: " + id
        + "\r\nX-Rosemaryshift-Response-Seal: seal-" + id + "\r\n\r\n5;";
    while (send(next)) {
        next = piece.substr(0, PieceBytes / static_cast<std::size_t>(senders));
        sleepMs(10);
    }
    --senders;
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
    std::atomic<bool> trouble = false;
    const auto answerSoundly = [](const Received &, Reply &reply) {
        reply.fields.emplace_back("Content-Type", "text/event-stream");
        reply.body = streamEvents();
        sleepMs(100);
    };
    std::atomic<int> answers = 0;
    const auto answerFaultily = [&](const Received &request, Reply &reply) {
        if (!trouble || std::fmod(record.seconds(), PeriodSeconds) > FaultySeconds || ++answers % AnswersForOneSpoilt != 0) {
            answerSoundly(request, reply);
            return;
        }
        reply.sender = [id = request.field("x-rosemaryshift-attempt-id")](const std::function<bool(const std::string &)> &send) { sendWithoutEnd(id, send); };
    };
    std::vector<std::unique_ptr<Server>> servers;
    for (int server = 0; server < Servers; ++server) {
        servers.push_back(std::make_unique<Server>(record,
                                                   store,
                                                   "i-000" + std::to_string(server),
                                                   "models",
                                                   server < FaultyServers ? Server::Handler(answerFaultily) : Server::Handler(answerSoundly)));
    }
    Gateways gateways(record, arguments[1], store.endpoint(), cloud.endpoint(), Count);
    if (!gateways.awaitReady(20'000)) {
        std::puts("the gateways are not ready");
        return CannotRun;
    }
    std::atomic<bool> stopping = false;
    std::atomic<int> sent = 0;
    std::atomic<int> answered = 0;
    std::mutex mutex;
    std::set<std::string> unanswered; ///< Requests whose kept connection was closed without an answer.
    std::vector<std::thread> clients;
    for (int client = 0; client < ClientsForEach * Count; ++client) {
        clients.emplace_back([&, client] {
            KeptConnection connection(gateways.front(client % Count));
            for (int number = 0; !stopping; ++number) {
                const std::string id = "a" + std::to_string(client) + "-" + std::to_string(number);
                ++sent;
                const double begin = record.seconds();
                const Answer answer = connection.call("POST", "/question/" + id, clientLines(id, 3000), "{}", 4000);
                answered += answer.complete && answer.status == 200 ? 1 : 0;
                record.write("client: " + id + " at " + Gateways::name(client % Count) + ", request " + std::to_string(connection.requests())
                             + " of its connection, got " + std::to_string(answer.status) + (answer.complete ? "" : ", incomplete"));
                if (!answer.complete && connection.requests() > 1 && record.seconds() - begin < 3) {
                    const std::lock_guard lock(mutex);
                    unanswered.insert(id);
                }
                sleepMs(10);
            }
        });
    }
    sleepMs(CalmMs);
    trouble = hasTrouble();
    // The platform ends a process whose memory is over the limit, and starts it again.
    std::map<int, int> ends;
    unsigned long long most = 0;
    while (record.seconds() < LengthSeconds) {
        for (int index = 0; index < Count; ++index) {
            const unsigned long long memory = gateways.memory(index);
            most = std::max(most, memory);
            if (memory > MemoryLimit) {
                record.write(Gateways::name(index) + ": has " + std::to_string(memory >> 20U) + " MB, over the limit");
                gateways.signal(index, SIGKILL);
                gateways.awaitEnd(index);
                ++ends[index];
                sleepMs(300);
                gateways.start(index);
            }
        }
        sleepMs(5);
    }
    stopping = true;
    for (std::thread &client : clients) {
        client.join();
    }
    // The sound servers are the last ones.
    std::set<std::string> lost;
    for (std::size_t server = FaultyServers; server < Servers; ++server) {
        for (const Received &run : servers[server]->runs()) {
            const std::string id = run.field("x-rosemaryshift-attempt-id");
            if (unanswered.contains(id)) {
                lost.insert(id);
                record.write("lost: " + id);
            }
        }
    }
    const bool broken = lost.size() > LostThatCount;
    const std::string reason = std::to_string(lost.size())
        + " requests that were passed on to sound servers lost their kept connection without an answer; most memory " + std::to_string(most >> 20U)
        + " MB; ends for memory over the limit: " + std::to_string(ends[0]) + " and " + std::to_string(ends[1]) + "; " + std::to_string(answered) + " of "
        + std::to_string(sent) + " requests answered";
    record.write(reason);
    std::puts(((broken ? "LOST is broken: " : "held: ") + reason).c_str());
    return broken ? Broken : Held;
}
