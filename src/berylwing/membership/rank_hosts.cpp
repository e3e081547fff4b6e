#include "berylwing/membership/rank_hosts.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

std::vector<std::string> rankHosts(const Roster& roster, std::string_view key)
{
    std::vector<std::pair<double, std::string>> scores;
    const auto hash = hashText(key);
    for (const auto& member : roster.members) {
        if (!member.isLeaving)
            scores.emplace_back(rendezvousScore(hash, member.host), member.host);
    }
    std::sort(scores.rbegin(), scores.rend());
    std::vector<std::string> hosts;
    hosts.reserve(scores.size());
    for (auto& [score, host] : scores)
        hosts.push_back(std::move(host));
    return hosts;
}

} // namespace berylwing
