#include "berylwing/gateway/compression.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace {

using namespace berylwing;

constexpr std::size_t kMaxTextBytes = 4 * 1024 * 1024;

std::string makeText(std::size_t routes)
{
    std::string text = "[";
    for (std::size_t route = 0; route < routes; ++route)
        text += R"({"name":"route-)" + std::to_string(route) + R"(","hostname":"hooks.example","timeout_ms":5000},)";
    return text + "{}]";
}

} // namespace

TEST_CASE("Compressed texts are restored as they were", "[gateway][compression]")
{
    for (const std::size_t routes : { 0, 1, 1320, 5000 }) {
        const auto text = makeText(routes);
        const auto compressed = compressText(text);
        CHECK(decompressText(compressed) == text);
    }
    // A plan with as many routes fits into a datagram.
    CHECK(compressText(makeText(1320)).size() < 60'000);
}

TEST_CASE("Damaged and oversized compressed texts are rejected", "[gateway][compression]")
{
    const auto compressed = compressText(makeText(1320));
    CHECK_FALSE(decompressText({}));
    CHECK_FALSE(decompressText("no gzip"));
    CHECK_FALSE(decompressText(compressed.substr(0, compressed.size() / 2)));
    auto damaged = compressed;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    CHECK_FALSE(decompressText(damaged));
    CHECK_FALSE(decompressText(compressText(std::string(kMaxTextBytes + 1, 'x'))));
}
