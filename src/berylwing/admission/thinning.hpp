#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace berylwing {

/**
 * @brief Admits a given part of the requests of each kind, as evenly as possible.
 *
 * Each request adds its part to the credit of its kind, and takes one if there is one. Drawing each request at random
 * would admit bursts. Hosts start with different credits, so that they do not admit their requests at the same time.
 */
class Thinning {
public:
    /** @brief Creates a thinning. @param hostSeed Differs between hosts. */
    explicit Thinning(std::uint64_t hostSeed) noexcept
        : seed { hostSeed }
    {
    }

    /** @brief Decides on a request. @param kind Kind. @param part Part of the requests of the kind to admit. */
    [[nodiscard]] bool admit(std::uint64_t kind, double part);

private:
    /** Kinds with a credit; those of requests are few, and all start again beyond it. */
    static constexpr std::size_t kMaxKinds = 1024;

    std::uint64_t seed;
    std::unordered_map<std::uint64_t, double> credits;
};

} // namespace berylwing
