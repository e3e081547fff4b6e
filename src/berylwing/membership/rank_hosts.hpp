#pragma once

#include "berylwing/config/objects.hpp"
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Ranks the members of a roster for a key by rendezvous hash; omits members that are leaving.
 * @param roster Roster.
 * @param key Key, usually the name of an endpoint or of a ledger shard.
 * @return Hosts, the owner of the key first.
 */
[[nodiscard]] std::vector<std::string> rankHosts(const Roster& roster, std::string_view key);

} // namespace berylwing
