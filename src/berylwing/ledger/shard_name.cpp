#include "berylwing/ledger/shard_name.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/ledger/limits.hpp"

namespace berylwing {

std::string makeShardName(std::string_view home, std::string_view workspace, std::string_view idempotencyKey)
{
    const auto shard = hashText(makeClaimKey(workspace, idempotencyKey)) % kShardsPerDomain;
    return std::string { home } + "-" + std::to_string(shard);
}

std::string findServingDomain(const Catalog& catalog, const std::string& home)
{
    const auto canServe = [&catalog](const std::string& domain) {
        const auto* roster = catalog.roster(domain);
        return roster != nullptr && !roster->members.empty() && !catalog.isDomainOutOfService(domain);
    };
    if (canServe(home))
        return home;
    std::string best = home;
    double bestScore = -1;
    const auto key = hashText(home);
    for (const auto& [domain, roster] : catalog.rosters()) {
        const auto score = rendezvousScore(key, domain);
        if (!canServe(domain) || score <= bestScore)
            continue;
        best = domain;
        bestScore = score;
    }
    return best;
}

std::string makeClaimKey(std::string_view workspace, std::string_view idempotencyKey)
{
    return std::string { workspace } + "/" + std::string { idempotencyKey };
}

} // namespace berylwing
