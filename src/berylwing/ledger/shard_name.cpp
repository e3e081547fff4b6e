#include "berylwing/ledger/shard_name.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/ledger/limits.hpp"

namespace berylwing {

std::string shardName(std::string_view home, std::string_view workspace, std::string_view idempotencyKey)
{
    const auto shard = hashText(claimName(workspace, idempotencyKey)) % kShardsPerDomain;
    return std::string { home } + "-" + std::to_string(shard);
}

std::string claimName(std::string_view workspace, std::string_view idempotencyKey)
{
    return std::string { workspace } + "/" + std::string { idempotencyKey };
}

} // namespace berylwing
