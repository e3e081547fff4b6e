#pragma once

#include "berylwing/config/settings.hpp"
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Host as the platform's store lists it. */
struct HostEntry {
    std::string name;
    std::string domain;
    /** Where its messages arrive; without an address if the entry could not be read. */
    SocketAddress address;
};

/**
 * @brief Hosts of the fleet and the groups in which they exchange digests.
 *
 * A small fleet is one group. In a larger one each failure domain is a group, so that what a host sends does not grow
 * with the fleet and a domain that is cut off is still whole in itself.
 */
class HostRoster {
    void recount();

public:
    /** @brief Creates a roster of one host. @param ownEntry This host. */
    explicit HostRoster(HostEntry ownEntry);

    /** @brief Takes the entry of a host. @param entry Entry. */
    void put(HostEntry entry);

    /** @brief Takes note that the entry of a host is gone. @param name Host. */
    void remove(std::string_view name);

    /** @brief Drops every host that a complete list does not hold. @param names Hosts of the list. */
    void retain(const std::set<std::string, std::less<>>& names);

    /** @brief Lists the names of all hosts. @return Names, with that of this host. */
    [[nodiscard]] const std::vector<std::string>& names() const noexcept { return this->allNames; }

    /** @brief Lists the other hosts of this host's group. @return Entries with an address. */
    [[nodiscard]] std::vector<HostEntry> group() const;

    /** @brief Lists the failure domains that are groups of their own, other than this host's. @return Domains. */
    [[nodiscard]] std::set<std::string> otherGroups() const;

    /** @brief Lists the hosts of a domain that are most likely its delegates. @param domain Domain. @return Entries. */
    [[nodiscard]] std::vector<HostEntry> likelyDelegates(std::string_view domain) const;

    /** @brief Finds another host. @param name Name. @return Entry, or a null pointer. */
    [[nodiscard]] const HostEntry* find(std::string_view name) const;

    /** @brief Finds the host of an address. @param address Address without a port. @return Entry, or a null pointer. */
    [[nodiscard]] const HostEntry* findByAddress(std::string_view address) const;

private:
    HostEntry own;
    std::map<std::string, HostEntry, std::less<>> hosts;
    std::vector<std::string> allNames;
    bool isOneGroup = true;
};

/** Hosts of a group that watch the store for it and speak to other groups; the second makes the loss of one harmless.
 */
inline constexpr std::size_t kDelegates = 2;

} // namespace berylwing
