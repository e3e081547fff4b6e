#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylwing {

/** @brief Entry of a host in the platform's store. */
struct HostEntry {
    std::string name;
    std::string domain;
    /** Address for messages to the host; empty if the entry is invalid. */
    SocketAddress address;

    /** @brief Compares two entries. @return True if they are equal. */
    [[nodiscard]] bool operator==(const HostEntry&) const = default;
};

/**
 * @brief Hosts of the fleet and the groups in which they exchange digests.
 *
 * A small fleet is a single group. In a larger one each failure domain is a group, so that a partitioned domain keeps
 * working on its own. Large domains are divided into two, four or more groups by the hashes of the hosts' names, so
 * that the traffic of a host does not grow with the fleet.
 */
class HostRoster {
    void add(HostEntry entry);
    void erase(std::map<std::string, HostEntry, std::less<>>::iterator position);
    [[nodiscard]] bool isSingleGroup() const noexcept;
    /** Returns the number of groups of a domain. */
    [[nodiscard]] std::size_t groupCount(std::string_view domain) const;

public:
    /** @brief Creates a roster that contains only this host. @param ownEntry This host. */
    explicit HostRoster(HostEntry ownEntry);

    /** @brief Adds or updates a host. @param entry Entry in the store; ignored if it is this host's own. */
    void put(HostEntry entry);

    /**
     * @brief Adds a host that has sent a message before its entry was read.
     * @param entry Entry as the host has described it; ignored if a host of that name is known.
     * @param until Time at which removeMissing() removes the host if its entry has not been put by then.
     */
    void introduce(HostEntry entry, TimePoint until);

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

    /** @brief Returns all hosts that can receive messages. @return Entries with an address, this host's own first. */
    [[nodiscard]] std::vector<HostEntry> reachableHosts() const;

    /** @brief Counts the changes of the roster. @return Number that grows with each change. */
    [[nodiscard]] std::uint64_t changeCount() const noexcept { return this->changes; }

    /** @brief Checks if this host comes first in the rendezvous order of a key. @param key Key. @return True if so. */
    [[nodiscard]] bool isFirstFor(std::uint64_t key) const;

    /** @brief Returns the other hosts of this host's group. @return Entries with an address. */
    [[nodiscard]] std::vector<HostEntry> groupMembers() const;

    /** @brief Returns the group of a host. @param entry Host. @return Name of its group. */
    [[nodiscard]] std::string groupOf(const HostEntry& entry) const;

    /** @brief Returns the group of this host. @return Name of the group. */
    [[nodiscard]] std::string ownGroup() const { return this->groupOf(this->own); }

    /**
     * @brief Returns the hosts of the other groups, the probable delegates of a group first.
     * @return Hosts by the name of their group; empty in a single group.
     */
    [[nodiscard]] std::map<std::string, std::vector<HostEntry>> otherGroups() const;

    /** @brief Checks if the fleet has hosts in other failure domains. @return True if their entries are valid. */
    [[nodiscard]] bool hasOtherDomains() const;

    /** @brief Finds another host by name. @param name Name. @return Entry, or a null pointer. */
    [[nodiscard]] const HostEntry* find(std::string_view name) const;

    /** @brief Finds another host by address. @param address Address without a port. @return Entry, or a null pointer.
     */
    [[nodiscard]] const HostEntry* findByAddress(std::string_view address) const;

private:
    HostEntry own;
    std::map<std::string, HostEntry, std::less<>> hosts;
    /** Hosts without an entry in the latest list, by the time at which they are removed. */
    std::map<std::string, TimePoint, std::less<>> missing;
    std::vector<std::string> allNames;
    std::uint64_t changes = 0;
    /** Number of hosts with a valid entry in each failure domain. */
    std::map<std::string, std::size_t, std::less<>> domainSizes;
    /** Names by address. */
    std::unordered_map<std::string, std::string> namesByAddress;
};

/** Number of hosts of a group that exchange summaries with other groups; with two the loss of one is harmless. */
inline constexpr std::size_t kDelegateCount = 2;

} // namespace berylwing
