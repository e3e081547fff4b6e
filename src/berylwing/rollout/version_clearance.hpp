#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Tells which versions of a service may be on trial by an order that this host does not know yet.
 *
 * The operator orders a roll-out before the endpoints of its version start. A version is therefore ordinary once the
 * orders are known up to a time after its first endpoint was listed, and no order names it. Until then it gets no
 * requests, unless no other version of the service is known to be ordinary and it has the most endpoints.
 */
class VersionClearance {
    struct Seen {
        TimePoint firstSeenAt {};
        std::size_t endpoints = 0;
        bool isCleared = false;
    };

public:
    /** @brief Begins a list of all endpoints. */
    void beginList();

    /**
     * @brief Adds an endpoint to the list.
     * @param service Service.
     * @param version Hash of the service and the version.
     * @param now Current time.
     */
    void add(std::string_view service, std::uint32_t version, TimePoint now);

    /** @brief Ends the list: versions without endpoints are forgotten. @param ordersKnownUntil Time up to which all
     * orders are known. */
    void endList(TimePoint ordersKnownUntil);

    /**
     * @brief Checks if a version may be on trial by an unknown order.
     * @param service Service.
     * @param version Hash of the service and the version.
     * @return True if it must get no requests; false also for a version without endpoints.
     */
    [[nodiscard]] bool isHeld(std::string_view service, std::uint32_t version) const;

    /** @brief Checks if a version has endpoints. @param service Service. @param version Version. @return True if so. */
    [[nodiscard]] bool isListed(std::string_view service, std::uint32_t version) const;

    /** @brief Checks if another version has endpoints. @param service Service. @param version Version. @return True if
     * so. */
    [[nodiscard]] bool isOtherListed(std::string_view service, std::uint32_t version) const;

    /** @brief Lists the versions of a service that have endpoints. @param service Service. @return Versions. */
    [[nodiscard]] std::vector<std::uint32_t> versionsOf(std::string_view service) const;

    /** @brief Checks if any version is held. @return False while all versions are ordinary. */
    [[nodiscard]] bool isAnyHeld() const noexcept { return this->hasHeld; }

private:
    std::map<std::string, std::map<std::uint32_t, Seen>, std::less<>> services;
    bool hasHeld = false;
};

} // namespace berylwing
