#include "gossip/statuschannels.h"

#include <catch2/catch.hpp>

#include <map>

using namespace rosemaryshift;
using namespace rosemaryshift::gossip;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

/// A channel that keeps what it is given and takes only digits.
class DigitChannel : public IStatusChannel
{
public:
    explicit DigitChannel(StatusChannelId id)
        : m_id(id)
    {
    }

    [[nodiscard]] StatusChannelId id() const override
    {
        return m_id;
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "digits";
    }

    [[nodiscard]] std::string content(TimePoint /*now*/) override
    {
        return own;
    }

    bool apply(std::string_view hostStart, std::string_view content, TimePoint /*now*/) override
    {
        if (content.find_first_not_of("0123456789") != std::string_view::npos) {
            return false;
        }
        told[std::string(hostStart)] = content;
        return true;
    }

    void forget(std::string_view hostStart) override
    {
        told.erase(std::string(hostStart));
    }

    std::string own;
    std::map<std::string, std::string> told;

private:
    const StatusChannelId m_id;
};

}

TEST_CASE("Modules tell their counterparts on other hosts what they know, each through a channel of its own")
{
    std::vector<std::string> malformed;
    StatusChannels channels(
        [&malformed](std::string_view channel, std::string_view host) { malformed.push_back(std::string(channel) + " " + std::string(host)); });
    DigitChannel samples(StatusChannelId::UpstreamSamples);
    DigitChannel rollouts(StatusChannelId::Rollouts);
    channels.add(samples);
    channels.add(rollouts);

    SECTION("a channel with nothing to tell takes no room")
    {
        samples.own = "12";
        const std::vector<ChannelContent> contents = channels.contents(Start);
        CHECK(contents == std::vector<ChannelContent>{{1, "12"}});

        SECTION("and the others' content reaches the channel with its number")
        {
            channels.apply("entry-2/a", contents, Start);
            CHECK(samples.told.at("entry-2/a") == "12");
            CHECK(rollouts.told.empty());

            channels.forget("entry-2/a");
            CHECK(samples.told.empty());
        }
    }
    SECTION("content that cannot be read is reported and changes nothing, and the other channels of the status count")
    {
        channels.apply("entry-2/a", std::vector<ChannelContent>{{1, "x"}, {2, "7"}}, Start);
        CHECK(malformed == std::vector<std::string>{"digits entry-2/a"});
        CHECK(samples.told.empty());
        CHECK(rollouts.told.at("entry-2/a") == "7");
    }
    SECTION("a channel of a later software version is ignored")
    {
        channels.apply("entry-2/a", std::vector<ChannelContent>{{200, "x"}, {1, "7"}}, Start);
        CHECK(malformed.empty());
        CHECK(samples.told.at("entry-2/a") == "7");
    }
}
