#pragma once

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
[[nodiscard]] std::string shardName(std::string_view home, std::string_view workspace, std::string_view idempotencyKey);

/** @brief Names a claim. @param workspace Workspace. @param idempotencyKey Text of the order's key. @return Name. */
[[nodiscard]] std::string claimName(std::string_view workspace, std::string_view idempotencyKey);

} // namespace berylwing
