#pragma once

#include "berylwing/config/catalog.hpp"
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Returns the name of the ledger shard that holds the claim of an order.
 * @param home Home failure domain of the workspace.
 * @param workspace Name of the workspace.
 * @param idempotencyKey Text of the idempotency key.
 * @return Name of the platform object of the shard.
 */
[[nodiscard]] std::string makeShardName(
    std::string_view home, std::string_view workspace, std::string_view idempotencyKey);

/**
 * @brief Returns the failure domain whose hosts own the ledger shards of a home domain.
 *
 * This is the home domain itself unless operators took it out of service or its roster is empty.
 * @param catalog Configuration.
 * @param home Home failure domain of the workspace.
 * @return Failure domain; the home domain if no domain can serve.
 */
[[nodiscard]] std::string findServingDomain(const Catalog& catalog, const std::string& home);

/**
 * @brief Returns the key under which a claim is stored in its shard.
 * @param workspace Name of the workspace.
 * @param idempotencyKey Text of the idempotency key.
 * @return Key of the claim, unique across workspaces.
 */
[[nodiscard]] std::string makeClaimKey(std::string_view workspace, std::string_view idempotencyKey);

} // namespace berylwing
