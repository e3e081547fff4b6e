#include "berylwing/admission/thinning.hpp"

#include "berylwing/core/hash.hpp"
#include <string_view>

namespace berylwing {

namespace {

/** Rounding errors of credits that add up to one. */
constexpr double kTolerance = 1e-9;

double firstCreditOf(std::uint64_t seed, std::uint64_t kind)
{
    constexpr double kHashes = 0x1p64;
    const std::string_view text { reinterpret_cast<const char*>(&kind), sizeof kind };
    return static_cast<double>(hashText(text, seed)) / kHashes;
}

} // namespace

bool Thinning::admit(std::uint64_t kind, double part)
{
    if (part >= 1)
        return true;
    if (this->credits.size() >= kMaxKinds)
        this->credits.clear();
    auto& credit = this->credits.try_emplace(kind, firstCreditOf(this->seed, kind)).first->second;
    credit += part;
    if (credit < 1 - kTolerance)
        return false;
    credit -= 1;
    return true;
}

} // namespace berylwing
