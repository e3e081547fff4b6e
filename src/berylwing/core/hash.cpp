#include "berylwing/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace berylwing {

std::uint64_t hashText(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double rendezvousScore(std::uint64_t key, std::string_view node, double weight) noexcept
{
    // The upper 53 bits of the hash, the precision of a double, become a uniform number between zero and one.
    constexpr double kMantissaRange = 9007199254740992.0;
    constexpr int kUnusedBits = 11;
    const auto hash = hashText(node, key);
    const auto uniform = (static_cast<double>(hash >> kUnusedBits) + 0.5) / kMantissaRange;
    return -weight / std::log(uniform);
}

std::size_t rendezvousRank(std::uint64_t key, std::string_view node, const std::vector<std::string>& nodes) noexcept
{
    const auto score = rendezvousScore(key, node);
    const auto higher = std::count_if(nodes.begin(), nodes.end(),
        [&](const std::string& other) { return other != node && rendezvousScore(key, other) > score; });
    return static_cast<std::size_t>(higher);
}

} // namespace berylwing
