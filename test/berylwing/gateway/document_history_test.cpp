#include "berylwing/gateway/document_history.hpp"

#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Histories of a sender and a recipient; the fingerprint of the objects is the number of the last change. */
class HistoryFixture {
public:
    static std::string documentOf(std::uint64_t number)
    {
        return std::string(5000, 'x') + std::to_string(number) + std::string(5000, 'y');
    }

    void change(std::uint64_t number, const std::string& text)
    {
        wire::StoreChange change;
        change.set_name("main");
        change.set_revision(10 * number);
        change.set_version(10 * number);
        change.set_value(text);
        this->sender.recordChange(change, number - 1);
    }

    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    DocumentHistory sender { this->clock };
    DocumentHistory recipient { this->clock };
};

} // namespace

TEST_CASE("Differences are applied from what the recipient knows on", "[gateway][patch]")
{
    HistoryFixture fixture;
    fixture.sender.recordListed("main", HistoryFixture::documentOf(0));
    for (std::uint64_t number = 1; number <= 5; ++number)
        fixture.change(number, HistoryFixture::documentOf(number));
    const auto known = GENERATE(range<std::uint64_t>(0, 5));
    fixture.recipient.recordListed("main", HistoryFixture::documentOf(known));
    wire::StoreNews news;
    fixture.sender.appendRecent(news);
    const auto patched = fixture.recipient.apply(news, known);
    REQUIRE(patched);
    REQUIRE(patched->size() == 1);
    CHECK(patched->front().text == HistoryFixture::documentOf(5));
    CHECK(patched->front().version == 50);
    // The recipient can pass them on.
    wire::StoreNews further;
    CHECK(fixture.recipient.appendFrom(further, known));
    CHECK(further.patches_size() == static_cast<int>(5 - known));
}

TEST_CASE("Differences that do not lead on from what the recipient knows change nothing", "[gateway][patch]")
{
    HistoryFixture fixture;
    fixture.sender.recordListed("main", HistoryFixture::documentOf(0));
    fixture.change(1, HistoryFixture::documentOf(1));
    fixture.change(2, HistoryFixture::documentOf(2));
    wire::StoreNews news;
    fixture.sender.appendRecent(news);
    fixture.recipient.recordListed("main", HistoryFixture::documentOf(0));
    SECTION("other objects") { CHECK_FALSE(fixture.recipient.apply(news, 7)); }
    SECTION("the same objects by name, another document")
    {
        fixture.recipient.clear();
        fixture.recipient.recordListed("main", HistoryFixture::documentOf(9));
        CHECK_FALSE(fixture.recipient.apply(news, 0));
    }
    SECTION("a document that is not known")
    {
        fixture.recipient.clear();
        CHECK_FALSE(fixture.recipient.apply(news, 0));
    }
    SECTION("a damaged difference")
    {
        news.mutable_patches(1)->mutable_patch()->set_result(1);
        CHECK_FALSE(fixture.recipient.apply(news, 0));
    }
    wire::StoreNews further;
    CHECK_FALSE(fixture.recipient.appendFrom(further, 0));
}

TEST_CASE("Small documents, large differences and age end a chain of differences", "[gateway][patch]")
{
    HistoryFixture fixture;
    fixture.sender.recordListed("main", HistoryFixture::documentOf(0));
    fixture.change(1, HistoryFixture::documentOf(1));
    wire::StoreNews news;
    REQUIRE(fixture.sender.appendFrom(news, 0));
    SECTION("small document") { fixture.change(2, "{}"); }
    SECTION("removal") { fixture.change(2, ""); }
    SECTION("large difference") { fixture.change(2, std::string(20'000, 'z') + "other"); }
    SECTION("age") { fixture.time += Duration { 10'001 }; }
    CHECK_FALSE(fixture.sender.appendFrom(news, 0));
}

TEST_CASE("A digest repeats only as many differences as fit into it", "[gateway][patch]")
{
    HistoryFixture fixture;
    fixture.sender.recordListed("main", HistoryFixture::documentOf(0));
    for (std::uint64_t number = 1; number <= 40; ++number)
        fixture.change(number, HistoryFixture::documentOf(number));
    wire::StoreNews news;
    fixture.sender.appendRecent(news);
    CHECK(news.ByteSizeLong() <= 2100);
    REQUIRE(news.patches_size() > 0);
    CHECK(news.patches().rbegin()->version() == 400);
}
