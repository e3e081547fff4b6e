#include "berylwing/gateway/prompt_holders.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

/** Registers of two hosts that exchange digests. */
class HoldersFixture {
public:
    wire::Digest digestOf(PromptHolders& holders)
    {
        wire::Digest digest;
        holders.describe(digest);
        return digest;
    }

    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    PromptHolders here { this->clock };
    PromptHolders there { this->clock };
};

} // namespace

TEST_CASE("PromptHolders tells other hosts of a use, also if some digests are lost", "[gateway][holders]")
{
    HoldersFixture fixture;
    fixture.here.recordUse(1, 10);
    static_cast<void>(fixture.digestOf(fixture.here));
    fixture.time += Duration { 400 };
    fixture.there.take(fixture.digestOf(fixture.here));
    CHECK(fixture.there.holds(1, 10));
    CHECK_FALSE(fixture.there.holds(1, 11));
    CHECK_FALSE(fixture.there.holds(2, 10));
}

TEST_CASE("PromptHolders announces a use once, not with each request", "[gateway][holders]")
{
    HoldersFixture fixture;
    std::size_t announced = 0;
    for (int round = 0; round < 40; ++round) {
        fixture.here.recordUse(1, 10);
        announced += static_cast<std::size_t>(fixture.digestOf(fixture.here).uses_size());
        fixture.time += Duration { 200 };
    }
    CHECK(announced <= 5);
}

TEST_CASE("PromptHolders does not announce what another host has just announced", "[gateway][holders]")
{
    HoldersFixture fixture;
    fixture.here.recordUse(1, 10);
    fixture.there.take(fixture.digestOf(fixture.here));
    fixture.there.recordUse(1, 10);
    CHECK(fixture.digestOf(fixture.there).uses_size() == 0);
}

TEST_CASE("PromptHolders tells a host that has started all that is in use", "[gateway][holders]")
{
    HoldersFixture fixture;
    for (std::uint64_t prompt = 1; prompt <= 50; ++prompt)
        fixture.here.recordUse(prompt, prompt % 7);
    fixture.time += Duration { 5000 };
    CHECK(fixture.digestOf(fixture.here).uses_size() == 0);
    fixture.here.announceAll();
    fixture.there.take(fixture.digestOf(fixture.here));
    for (std::uint64_t prompt = 1; prompt <= 50; ++prompt)
        CHECK(fixture.there.holds(prompt, prompt % 7));
}

TEST_CASE("PromptHolders forgets a prompt that nobody asks for", "[gateway][holders]")
{
    HoldersFixture fixture;
    fixture.here.recordUse(1, 10);
    fixture.time += Duration { 70'000 };
    fixture.here.dropOld();
    CHECK_FALSE(fixture.here.holds(1, 10));
}
