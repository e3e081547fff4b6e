#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Hashes a text with a seed; the value is the same on every host.
 * @param text Text to hash.
 * @param seed Seed, usually the hash of another text.
 * @return 64-bit hash.
 */
[[nodiscard]] std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0) noexcept;

/**
 * @brief Computes the score of a node for a key in weighted rendezvous hashing.
 * @param key Hash of the key.
 * @param node Name of the node.
 * @param weight Relative weight, greater than zero.
 * @return Score; the node with the highest score is the first choice for the key.
 */
[[nodiscard]] double rendezvousScore(std::uint64_t key, std::string_view node, double weight = 1.0) noexcept;

/**
 * @brief Computes the position of a node in the rendezvous order of a key.
 * @param key Hash of the key.
 * @param node Name of the node.
 * @param nodes Names of all nodes.
 * @return Number of other nodes with a higher score.
 */
[[nodiscard]] std::size_t rendezvousRank(
    std::uint64_t key, std::string_view node, const std::vector<std::string>& nodes) noexcept;

} // namespace berylwing
