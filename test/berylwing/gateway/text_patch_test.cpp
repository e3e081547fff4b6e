#include "berylwing/gateway/text_patch.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace {

using namespace berylwing;

std::string makeText(std::size_t bytes, unsigned seed)
{
    std::minstd_rand random { seed };
    std::string text;
    while (text.size() < bytes)
        text += static_cast<char>('a' + random() % 26);
    return text;
}

} // namespace

TEST_CASE("A patch restores the new text whatever has changed", "[gateway][patch]")
{
    std::minstd_rand random { 3 };
    for (int round = 0; round < 300; ++round) {
        const auto former = makeText(random() % 3000, 1 + static_cast<unsigned>(round));
        auto text = former;
        for (auto edits = random() % 6; edits > 0; --edits) {
            const auto place = text.empty() ? 0 : random() % text.size();
            if (random() % 2 == 0)
                text.insert(place, makeText(random() % 200, 7));
            else
                text.erase(place, random() % 200);
        }
        CAPTURE(round);
        CHECK(applyPatch(former, makePatch(former, text)) == text);
    }
}

TEST_CASE("The size of a patch depends on what has changed", "[gateway][patch]")
{
    const auto former = makeText(300'000, 1);
    auto text = former;
    text.insert(150'000, "inserted");
    text.erase(20'000, 700);
    text.replace(299'000, 5, "other");
    CHECK(makePatch(former, text).ByteSizeLong() < 500);
    CHECK(makePatch(former, former).ByteSizeLong() < 50);
}

TEST_CASE("A patch of another or a damaged text is rejected", "[gateway][patch]")
{
    const auto former = makeText(5000, 1);
    const auto text = former.substr(0, 2000) + "changed" + former.substr(2100);
    const auto patch = makePatch(former, text);
    CHECK_FALSE(applyPatch(text, patch));
    auto damaged = patch;
    SECTION("range beyond the end") { damaged.set_lengths(0, 6000); }
    SECTION("offset beyond the end") { damaged.set_offsets(1, 4'000'000'000U); }
    SECTION("missing part") { damaged.mutable_lengths()->RemoveLast(); }
    SECTION("other result") { damaged.set_inserted(0, "changeD"); }
    SECTION("too large")
    {
        while (damaged.offsets_size() < 2000) {
            damaged.add_offsets(0);
            damaged.add_lengths(5000);
            damaged.add_inserted("");
        }
    }
    CHECK_FALSE(applyPatch(former, damaged));
}
