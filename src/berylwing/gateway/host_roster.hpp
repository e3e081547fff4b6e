#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Entry of a host in the platform's store. */
struct HostEntry {
    std::string name;
    std::string domain;
    /** Address for messages to the host; empty if the entry is invalid. */
    SocketAddress address;
};

/**
 * @brief Hosts of the fleet and the groups in which they exchange digests.
 *
 * A small fleet is a single group. In a larger one each failure domain is a group, so that the traffic of a host does
 * not grow with the fleet and a partitioned domain keeps working on its own.
 */
class HostRoster {
    void updateNames();

public:
    /** @brief Creates a roster that contains only this host. @param ownEntry This host. */
    explicit HostRoster(HostEntry ownEntry);

    /** @brief Adds or updates a host. @param entry Entry in the store; ignored if it is this host's own. */
    void put(HostEntry entry);

    /** @brief Removes a host. @param name Host. */
    void remove(std::string_view name);

    /** @brief Removes the hosts that are not in a complete list. @param names Hosts of the list. */
    void retain(const std::set<std::string, std::less<>>& names);

    /**
     * @brief Keeps the hosts that are not in the list of a restored store, which have yet to write their entries again.
     * @param names Hosts of the list.
     * @param until Time at which removeMissing() removes those that have not been put by then.
     */
    void keepMissing(const std::set<std::string, std::less<>>& names, TimePoint until);

    /** @brief Removes the hosts that are still missing. @param now Current time. */
    void removeMissing(TimePoint now);

    /** @brief Returns the names of all hosts. @return Names, including this host. */
    [[nodiscard]] const std::vector<std::string>& names() const noexcept { return this->allNames; }

    /** @brief Checks if this host comes first in the rendezvous order of a key. @param key Key. @return True if so. */
    [[nodiscard]] bool isFirstFor(std::uint64_t key) const;

    /** @brief Returns the other hosts of this host's group. @return Entries with an address. */
    [[nodiscard]] std::vector<HostEntry> groupMembers() const;

    /** @brief Returns the failure domains that form the other groups. @return Domains; empty in a single group. */
    [[nodiscard]] std::set<std::string> otherGroups() const;

    /** @brief Returns the hosts that are probably the delegates of a domain. @param domain Domain. @return Entries. */
    [[nodiscard]] std::vector<HostEntry> likelyDelegates(std::string_view domain) const;

    /** @brief Finds another host by name. @param name Name. @return Entry, or a null pointer. */
    [[nodiscard]] const HostEntry* find(std::string_view name) const;

    /** @brief Finds another host by address. @param address Address without a port. @return Entry, or a null pointer.
     */
    [[nodiscard]] const HostEntry* findByAddress(std::string_view address) const;

private:
    HostEntry own;
    std::map<std::string, HostEntry, std::less<>> hosts;
    /** Hosts that a restored store lacks. */
    std::set<std::string, std::less<>> missing;
    TimePoint missingUntil {};
    std::vector<std::string> allNames;
    bool isSingleGroup = true;
};

/** Number of hosts of a group that exchange summaries with other groups; with two the loss of one is harmless. */
inline constexpr std::size_t kDelegateCount = 2;

} // namespace berylwing
