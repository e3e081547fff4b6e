#pragma once

#include "berylwing/gateway/host_roster.hpp"
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylwing {

/** Number of hosts that keep the version of a stream; with two the loss of one is harmless. */
inline constexpr std::size_t kKeeperCount = 2;

/**
 * @brief Assignment of streams to the hosts that keep their versions.
 *
 * The rendezvous order of a stream ranks the failure domains, then the hosts of the two best domains, so that hosts
 * with the same roster find the same keepers, and a host that leaves moves only the streams that it kept.
 */
class StreamKeepers {
public:
    /** @brief Host that can keep versions. */
    struct Keeper {
        HostEntry entry;
        /** Hash of the host's name. */
        std::uint64_t id = 0;
        bool isThisHost = false;
    };

    /** @brief Keepers of a stream; null pointers if the fleet has too few hosts. */
    using Set = std::array<const Keeper*, kKeeperCount>;

    /** @brief Creates the assignment. @param hostRoster Hosts of the fleet. */
    explicit StreamKeepers(const HostRoster& hostRoster);

    /** @brief Finds the keepers of a stream. @param stream Stream. @return Keepers, valid until the next call. */
    [[nodiscard]] Set find(std::uint64_t stream);

private:
    struct Domain {
        std::uint64_t id = 0;
        std::vector<Keeper> hosts;
    };

    void refresh();

    const HostRoster& roster;
    std::vector<Domain> domains;
    /** Change count of the roster that the domains were made from. */
    std::uint64_t rosterChanges;
};

} // namespace berylwing
