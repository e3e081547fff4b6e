#pragma once

#include "berylwing/config/catalog.hpp"
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Names the ledger shard of an order.
 * @param home Home failure domain of the workspace.
 * @param workspace Workspace.
 * @param idempotencyKey Text of the order's key.
 * @return Name of the shard's object in the platform.
 */
[[nodiscard]] std::string makeShardName(
    std::string_view home, std::string_view workspace, std::string_view idempotencyKey);

/**
 * @brief Finds the failure domain whose hosts own the shards of a home domain.
 *
 * It is the home domain itself unless operators have taken that out or it has no hosts.
 * @param catalog Configuration.
 * @param home Home failure domain of the workspace.
 * @return Failure domain; the home domain if no other one can serve.
 */
[[nodiscard]] std::string findServingDomain(const Catalog& catalog, const std::string& home);

/** @brief Names a claim. @param workspace Workspace. @param idempotencyKey Text of the order's key. @return Name. */
[[nodiscard]] std::string makeClaimKey(std::string_view workspace, std::string_view idempotencyKey);

} // namespace berylwing
