#include "berylwing/gateway/prompt_cache_index.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

/** Indexes of two hosts that exchange their announcements. */
class CacheIndexFixture {
public:
    wire::EndpointNotes usesOf(PromptCacheIndex& index)
    {
        wire::EndpointNotes uses;
        index.appendTo(uses);
        return uses;
    }

    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    PromptCacheIndex here { this->clock };
    PromptCacheIndex there { this->clock };
};

} // namespace

TEST_CASE("PromptCacheIndex announces a use to other hosts even if a digest is lost", "[gateway][holders]")
{
    CacheIndexFixture fixture;
    fixture.here.recordUse({ 1, 10 });
    static_cast<void>(fixture.usesOf(fixture.here));
    fixture.time += Duration { 400 };
    fixture.there.merge(fixture.usesOf(fixture.here));
    CHECK(fixture.there.isCached(1, 10));
    CHECK_FALSE(fixture.there.isCached(1, 11));
    CHECK_FALSE(fixture.there.isCached(2, 10));
}

TEST_CASE("PromptCacheIndex does not announce a use with every request", "[gateway][holders]")
{
    CacheIndexFixture fixture;
    std::size_t announced = 0;
    for (int round = 0; round < 40; ++round) {
        fixture.here.recordUse({ 1, 10 });
        announced += static_cast<std::size_t>(fixture.usesOf(fixture.here).subjects_size());
        fixture.time += Duration { 200 };
    }
    CHECK(announced <= 5);
}

TEST_CASE("PromptCacheIndex does not announce a use that another host has just announced", "[gateway][holders]")
{
    CacheIndexFixture fixture;
    fixture.here.recordUse({ 1, 10 });
    fixture.there.merge(fixture.usesOf(fixture.here));
    fixture.there.recordUse({ 1, 10 });
    CHECK(fixture.usesOf(fixture.there).subjects_size() == 0);
}

TEST_CASE("PromptCacheIndex announces all recent uses again for a host that has started", "[gateway][holders]")
{
    CacheIndexFixture fixture;
    for (std::uint32_t prompt = 1; prompt <= 50; ++prompt)
        fixture.here.recordUse({ prompt, prompt % 7 });
    fixture.time += Duration { 5000 };
    CHECK(fixture.usesOf(fixture.here).subjects_size() == 0);
    fixture.here.repeatAnnouncements();
    fixture.there.merge(fixture.usesOf(fixture.here));
    for (std::uint32_t prompt = 1; prompt <= 50; ++prompt)
        CHECK(fixture.there.isCached(prompt, prompt % 7));
}

TEST_CASE("PromptCacheIndex removes a prompt that is not used", "[gateway][holders]")
{
    CacheIndexFixture fixture;
    fixture.here.recordUse({ 1, 10 });
    fixture.time += Duration { 70'000 };
    fixture.here.removeExpired();
    CHECK_FALSE(fixture.here.isCached(1, 10));
}

TEST_CASE("PromptCacheIndex passes on a use once, however often it is announced", "[gateway][holders]")
{
    CacheIndexFixture fixture;
    fixture.here.recordUse({ 1, 10 });
    const auto uses = fixture.usesOf(fixture.here);
    const auto first = fixture.there.merge(uses);
    REQUIRE(first.size() == 1);
    CHECK(first[0].subject == 1);
    CHECK(first[0].endpoint == 10);
    CHECK(fixture.there.merge(uses).empty());
    fixture.time += Duration { 11'000 };
    CHECK(fixture.there.merge(uses).size() == 1);
}

TEST_CASE("PromptCacheIndex ignores surplus entries of lists of different lengths", "[gateway][holders]")
{
    CacheIndexFixture fixture;
    wire::EndpointNotes uses;
    uses.add_subjects(1);
    uses.add_subjects(2);
    uses.add_endpoints(10);
    CHECK(fixture.there.merge(uses).size() == 1);
    CHECK_FALSE(fixture.there.isCached(2, 10));
}
