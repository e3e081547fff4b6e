#pragma once

#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace berylwing {

/** @brief States of a claim. */
enum class ClaimState {
    /** The request may be about to run, be running or have run. */
    Claimed,
    /** The request ran and its answer was received. */
    Done,
};

/** @brief Names of the claim states in the stored ledger. */
inline constexpr EnumNames<ClaimState, 2> kClaimStateNames { {
    "claimed",
    "done",
} };

/** @brief Ledger entry of one idempotency key: the right to run its request, and later the answer. */
struct Claim {
    ClaimState state = ClaimState::Claimed;
    /** Hash of the request; tells a resend from a different request that reuses the key. */
    std::uint64_t fingerprint = 0;
    /** Creation time of the key, in milliseconds since the Unix epoch. */
    std::int64_t keyCreatedMs = 0;
    /** HTTP status of the answer, once done. */
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /** Whether the answer is stored; false if its body exceeded kMaxStoredBodyBytes. */
    bool hasBody = false;
};

/** @brief Converts a claim to its stored form. @param claim Claim. @return JSON object. */
[[nodiscard]] nlohmann::json writeClaim(const Claim& claim);

/**
 * @brief Restores a claim from its stored form.
 * @param value JSON object.
 * @return Claim.
 * @throws nlohmann::json::exception If the object is malformed.
 */
[[nodiscard]] Claim readClaim(const nlohmann::json& value);

} // namespace berylwing
