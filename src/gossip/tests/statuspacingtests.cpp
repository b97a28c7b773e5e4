#include "gossip/peerstatus.h"
#include "gossip/statuspacing.h"

#include <catch2/catch.hpp>

#include <map>

using namespace rosemaryshift;
using namespace rosemaryshift::gossip;

namespace {

constexpr std::size_t StatusBytes = 2'000;

std::set<std::string> addressesOf(std::size_t hosts)
{
    std::set<std::string> addresses;
    for (std::size_t host = 0; host < hosts; ++host) {
        addresses.insert("10." + std::to_string(host / 200) + ".0." + std::to_string(host % 200));
    }
    return addresses;
}

/// Addresses of the receivers whose statuses are dropped by a link of @p bytesPerMs that queues @p queueBytes.
std::set<std::string> droppedReceivers(const std::vector<StatusBatch> &batches, std::size_t bytesPerMs, std::size_t queueBytes)
{
    std::set<std::string> dropped;
    std::size_t queued = 0;
    Duration last{0};
    for (const StatusBatch &batch : batches) {
        const std::size_t sent = bytesPerMs * static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::milliseconds>(batch.delay - last).count());
        queued -= std::min(queued, sent);
        last = batch.delay;
        for (const std::string &address : batch.addresses) {
            if (queued + StatusBytes > queueBytes) {
                dropped.insert(address);
            } else {
                queued += StatusBytes;
            }
        }
    }
    return dropped;
}

}

// Guards against hosts that hear nobody: statuses to hundreds of peers went out at once in the order of their addresses, a full link dropped the end of
// them, and the same hosts, last in the order, missed those of every peer.
TEST_CASE("The statuses of a host in a large fleet fit a small link, and no receiver comes last at all senders")
{
    const std::size_t hosts = GENERATE(9U, 77U, 295U, 420U);
    CAPTURE(hosts);
    const std::set<std::string> addresses = addressesOf(hosts);
    const Duration interval = statusInterval(hosts - 1);

    SECTION("each status is sent once, in small batches that are spread over the interval")
    {
        const std::vector<StatusBatch> batches = pacedBatches("10.9.0.1", addresses, interval);
        std::set<std::string> receivers;
        Duration last{-1};
        for (const StatusBatch &batch : batches) {
            CHECK(batch.addresses.size() <= MaxStatusesAtOnce);
            CHECK(batch.delay > last);
            CHECK(batch.delay < interval);
            last = batch.delay;
            for (const std::string &address : batch.addresses) {
                CHECK(receivers.insert(address).second);
            }
        }
        CHECK(receivers == addresses);
        CHECK(batches.front().delay == Duration::zero());
    }
    SECTION("a link of 10 Mbit/s with a queue of 64 KB drops none of them")
    {
        CHECK(droppedReceivers(pacedBatches("10.9.0.1", addresses, interval), 1'250, 64'000).empty());
    }
    SECTION("a receiver gets its status at the same time of each interval, also when other hosts have come")
    {
        std::set<std::string> more = addresses;
        more.insert("10.8.0.1");
        const std::vector<StatusBatch> batches = pacedBatches("10.9.0.1", addresses, interval);
        const std::vector<StatusBatch> later = pacedBatches("10.9.0.1", more, interval);
        std::map<std::string, Duration> delays;
        for (const StatusBatch &batch : batches) {
            for (const std::string &address : batch.addresses) {
                delays[address] = batch.delay;
            }
        }
        for (const StatusBatch &batch : later) {
            for (const std::string &address : batch.addresses) {
                const Duration shift = address == "10.8.0.1" ? Duration::zero() : delays.at(address) - batch.delay;
                CHECK(std::chrono::abs(shift) <= interval / 2);
            }
        }
    }
    SECTION("what a link that is too small drops is spread over the receivers")
    {
        std::map<std::string, std::size_t> drops;
        std::size_t total = 0;
        for (const std::string &sender : addresses) {
            for (const std::string &receiver : droppedReceivers(pacedBatches(sender, addresses, interval), 100, 32'000)) {
                ++drops[receiver];
                ++total;
            }
        }
        const double mean = static_cast<double>(total) / static_cast<double>(hosts);
        for (const auto &[receiver, count] : drops) {
            CHECK(static_cast<double>(count) <= 1.5 * mean + 10);
        }
    }
}
