#include "relay/changelog.h"
#include "relay/logreaders.h"
#include "relay/relaymessages.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace rosemaryshift;
using namespace rosemaryshift::relay;

namespace {

std::vector<std::string> hostsOf(std::size_t count)
{
    std::vector<std::string> hosts;
    for (std::size_t host = 0; host < count; ++host) {
        hosts.push_back("entry-" + std::to_string(host));
    }
    return hosts;
}

/// Hosts with equal links.
std::vector<ZoneHost> equalHosts(const std::vector<std::string> &names)
{
    std::vector<ZoneHost> hosts;
    for (const std::string &name : names) {
        hosts.push_back({name, 10});
    }
    return hosts;
}

std::size_t readersAmong(const std::vector<std::string> &hosts)
{
    std::size_t readers = 0;
    for (const std::string &host : hosts) {
        readers += readersFor(host, equalHosts(hosts)).empty() ? 1 : 0;
    }
    return readers;
}

}

// Guards against calls to the platform's log that grow with the number of hosts, each of which read the same records.
TEST_CASE("A few hosts of an availability zone read the log for the others")
{
    SECTION("in a small zone each host reads for itself")
    {
        CHECK(readersAmong(hostsOf(3)) == 3);
        CHECK(readersAmong(hostsOf(8)) == 8);
    }
    SECTION("in a larger one, the part of the hosts that read falls with their number")
    {
        CHECK(readersAmong(hostsOf(20)) == 2);
        CHECK(readersAmong(hostsOf(59)) == 3);
        CHECK(readersAmong(hostsOf(84)) == 4);
    }
    SECTION("the hosts that do not read are spread over the readers, and each knows a second one")
    {
        const std::vector<std::string> hosts = hostsOf(59);
        std::map<std::string, int> asked;
        for (const std::string &host : hosts) {
            const std::vector<std::string> readers = readersFor(host, equalHosts(hosts));
            if (!readers.empty()) {
                REQUIRE(readers.size() >= 2);
                ++asked[readers.front()];
            }
        }
        REQUIRE(asked.size() == 3);
        for (const auto &[reader, count] : asked) {
            CHECK(count >= 9);
        }
    }
    SECTION("hosts with the fastest links are the readers, those that don't state theirs the last ones")
    {
        std::vector<ZoneHost> hosts = equalHosts(hostsOf(30));
        hosts[7].linkMegabits = 200;
        hosts[21].linkMegabits = 200;
        hosts[3].linkMegabits = 0;
        for (const ZoneHost &host : hosts) {
            const std::vector<std::string> readers = readersFor(host.name, hosts);
            const bool reads = host.name == hosts[7].name || host.name == hosts[21].name;
            CHECK(readers.empty() == reads);
            CHECK((reads || std::set<std::string>(readers.begin(), readers.end()) == std::set<std::string>{hosts[7].name, hosts[21].name}));
        }
    }
    SECTION("hosts that hear different hosts agree on most readers, and a host that hears no other reads for itself")
    {
        const std::vector<std::string> hosts = hostsOf(59);
        std::vector<std::string> heard(hosts.begin(), hosts.end() - 5);
        std::set<std::string> readers;
        for (const std::string &host : heard) {
            for (const std::vector<std::string> &view : {hosts, heard}) {
                for (const std::string &reader : readersFor(host, equalHosts(view))) {
                    readers.insert(reader);
                }
            }
        }
        CHECK(readers.size() <= 6);
        CHECK(readersFor("entry-0", equalHosts({"entry-0"})).empty());
    }
}

TEST_CASE("A reader tells the changes of the list that it has read, and only what it knows for certain")
{
    ChangeLog log;
    CHECK(!log.from({0}));
    log.reset({100});
    log.note({"i-1", "ready", 104});
    log.note({"i-2", std::nullopt, 109});
    log.advance({120});

    SECTION("from the offset that is asked for")
    {
        const std::optional<Changes> changes = log.from({105});
        REQUIRE(changes);
        REQUIRE(changes->changes.size() == 1);
        CHECK(changes->changes.front() == Change{"i-2", std::nullopt, 109});
        CHECK(changes->next == ports::LogPosition{120});
        CHECK(!changes->more);
        CHECK(log.from({120})->changes.empty());
    }
    SECTION("nothing from before it began to read, or after what it has read")
    {
        CHECK(!log.from({99}));
        CHECK(!log.from({121}));
    }
    SECTION("nothing of a log that was restored from an earlier copy, whose offsets are given out again")
    {
        log.advance({60});
        CHECK(!log.from({105}));
        CHECK(log.from({60}));
        CHECK(log.from({60})->changes.empty());
    }
    SECTION("nothing of a restored log that has grown beyond the offset which is asked for, as only the era tells")
    {
        log.reset({100, 1});
        log.advance({120, 1});
        CHECK(log.from({105, 1}));
        log.advance({130, 2});
        CHECK(!log.from({105, 1}));
        CHECK(!log.from({130, 1}));
        CHECK(log.from({130, 2}));
        CHECK(log.from({130})); // A host of an earlier software version asks.
    }
    SECTION("in parts that fit into a datagram")
    {
        const std::string value(6'000, 'x');
        for (std::uint64_t offset = 120; offset < 130; ++offset) {
            log.note({"i-3", value, offset});
        }
        log.advance({130});
        ports::LogPosition next{120};
        std::size_t changes = 0;
        bool more = true;
        while (more) {
            const std::optional<Changes> part = log.from(next);
            REQUIRE(part);
            REQUIRE(!part->changes.empty());
            Answer answer;
            answer.changes = *part;
            CHECK(encoded(answer).size() < 20'000);
            changes += part->changes.size();
            next = part->next;
            more = part->more;
        }
        CHECK(changes == 10);
        CHECK(next == ports::LogPosition{130});
    }
    SECTION("what no longer fits into its memory is not known any more")
    {
        const std::string value(100'000, 'x');
        for (std::uint64_t offset = 120; offset < 140; ++offset) {
            log.note({"i-3", value, offset});
        }
        log.advance({140});
        CHECK(!log.from({120}));
        CHECK(log.from({139}));
    }
}

TEST_CASE("What hosts ask each other about the log is read as it was written")
{
    const Query query{7, {1'000, 2}};
    Answer answer;
    answer.number = 7;
    answer.configuration = 12;
    answer.confirmedAge = std::chrono::milliseconds(800);
    answer.listAge = std::chrono::milliseconds(300);
    answer.changes = {{{"i-1", "{\"state\":\"ready\"}", 1'001}, {"i-2", std::nullopt, 1'003}}, {1'010, 2}, true};
    answer.era = 3;

    SECTION("a query and its answer are told apart")
    {
        CHECK(decodedQuery(encoded(query)) == query);
        CHECK(!decodedAnswer(encoded(query)));
        const std::optional<Answer> decoded = decodedAnswer(encoded(answer));
        REQUIRE(decoded);
        CHECK(!decodedQuery(encoded(answer)));
        CHECK(decoded->number == 7);
        CHECK(decoded->configuration == 12);
        CHECK(decoded->confirmedAge == answer.confirmedAge);
        CHECK(decoded->listAge == answer.listAge);
        CHECK(decoded->changes.changes == answer.changes.changes);
        CHECK((decoded->changes.next == ports::LogPosition{1'010, 2}));
        CHECK(decoded->era == 3);
        CHECK(decoded->changes.more);
    }
    SECTION("hosts of earlier software versions state no era")
    {
        const std::optional<Query> earlierQuery = decodedQuery(R"({"query":7,"from":1000})");
        REQUIRE(earlierQuery);
        CHECK(earlierQuery->from == ports::LogPosition{1'000});
        const std::optional<Answer> earlierAnswer = decodedAnswer(R"({"answer":7,"configuration":12,"next":3,"changes":[]})");
        REQUIRE(earlierAnswer);
        CHECK(!earlierAnswer->era);
        CHECK(earlierAnswer->changes.next == ports::LogPosition{3});
    }
    SECTION("an answer of a host that cannot tell states no ages")
    {
        const std::optional<Answer> decoded = decodedAnswer(encoded(Answer{}));
        REQUIRE(decoded);
        CHECK(!decoded->confirmedAge);
        CHECK(!decoded->listAge);
    }
    SECTION("malformed datagrams are refused, and ages that cannot be")
    {
        for (const char *text : {"",
                                 "[]",
                                 "{}",
                                 "{\"query\":1}",
                                 "{\"query\":-1,\"from\":2}",
                                 "{\"answer\":1,\"configuration\":1,\"next\":3}",
                                 "{\"answer\":1,\"configuration\":1,\"next\":3,\"changes\":[{\"key\":\"a\"}]}",
                                 "{\"answer\":1,\"configuration\":1,\"next\":3,\"changes\":[{\"key\":\"a\",\"offset\":1,\"value\":5}]}"}) {
            CAPTURE(text);
            CHECK(!decodedQuery(text));
            CHECK(!decodedAnswer(text));
        }
        const std::optional<Answer> decoded
            = decodedAnswer(R"({"answer":1,"configuration":1,"next":3,"changes":[],"list_ms":18446744073709551615,"confirmed_ms":-4})");
        REQUIRE(decoded);
        CHECK(!decoded->listAge);
        CHECK(!decoded->confirmedAge);
    }
}
