#include "berylwing/gateway/document_compression.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace {

using namespace berylwing;

constexpr std::size_t kMaxDocumentBytes = 4 * 1024 * 1024;

std::string makeDocument(std::size_t routes)
{
    std::string text = "[";
    for (std::size_t route = 0; route < routes; ++route)
        text += R"({"name":"route-)" + std::to_string(route) + R"(","hostname":"hooks.example","timeout_ms":5000},)";
    return text + "{}]";
}

} // namespace

TEST_CASE("Compressed documents are restored as they were", "[gateway][compression]")
{
    for (const std::size_t routes : { 0, 1, 1320, 5000 }) {
        const auto text = makeDocument(routes);
        const auto compressed = compressDocument(text);
        CHECK(decompressDocument(compressed) == text);
    }
    // A plan with as many routes fits into a datagram.
    CHECK(compressDocument(makeDocument(1320)).size() < 60'000);
}

TEST_CASE("Damaged and oversized compressed documents are rejected", "[gateway][compression]")
{
    const auto compressed = compressDocument(makeDocument(1320));
    CHECK_FALSE(decompressDocument({}));
    CHECK_FALSE(decompressDocument("no gzip"));
    CHECK_FALSE(decompressDocument(compressed.substr(0, compressed.size() / 2)));
    auto damaged = compressed;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    CHECK_FALSE(decompressDocument(damaged));
    CHECK_FALSE(decompressDocument(compressDocument(std::string(kMaxDocumentBytes + 1, 'x'))));
}
