#pragma once

#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace berylwing {

/** @brief States of a claim. */
enum class ClaimState {
    /** The request may run, be running, or have run. */
    Claimed,
    /** The request ran and its answer is known. */
    Done,
};

/** @brief Names of the claim states in the stored ledger. */
inline constexpr EnumNames<ClaimState, 2> kClaimStateNames { {
    "claimed",
    "done",
} };

/** @brief Entry of the ledger for one idempotency key. */
struct Claim {
    ClaimState state = ClaimState::Claimed;
    /** Hash of the request, which tells a resend from another request under the same key. */
    std::uint64_t fingerprint = 0;
    /** Time carried by the key, in milliseconds since the Unix epoch. */
    std::int64_t keyCreatedMs = 0;
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /** Whether the body of the answer was short enough to be kept. */
    bool hasBody = false;
};

/** @brief Writes a claim. @param claim Claim. @return Document. */
[[nodiscard]] nlohmann::json writeClaim(const Claim& claim);

/** @brief Reads a claim. @param value Document. @return Claim. @throws nlohmann::json::exception If it is malformed. */
[[nodiscard]] Claim readClaim(const nlohmann::json& value);

} // namespace berylwing
