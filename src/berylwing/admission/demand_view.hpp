#pragma once

#include "berylwing/admission/demand.hpp"
#include "berylwing/core/clock.hpp"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Number of hosts by the roster of a host. */
struct FleetSize {
    /** Hosts of this host's group, with itself. */
    std::size_t group = 1;
    /** Hosts of all groups. */
    std::size_t all = 1;
};

/**
 * @brief Keeps the demand that other hosts reported, and estimates that of the whole fleet.
 *
 * Reports replace earlier ones of the same sender. A host that sends digests without a report, like those of an earlier
 * release, counts as asking what an average host asks. So does a listed host that was never heard, as when this host
 * has just started, and so do all if none is heard. A host that was heard and fell silent does not count: it is gone,
 * or it is cut off and does not reach the same endpoints.
 */
class DemandView {
    struct Entry {
        DemandReport report;
        TimePoint receivedAt {};
        /** Age of the report when it was sent. */
        Duration age {};
    };

    using Entries = std::map<std::string, Entry, std::less<>>;

    /** Calls a function with each report that counts: those of the group, and those of other groups. */
    void forEachReport(const std::function<void(const Entry&)>& function) const;
    [[nodiscard]] bool usesSummaries() const;

public:
    /** @brief Creates a view without reports. @param hostClock Clock of the host. */
    explicit DemandView(const Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Applies the report of a host of the group. @param host Sender. @param report Report. */
    void applyHost(std::string_view host, DemandReport report);

    /** @brief Applies the report of another group. @param group Group. @param report Report. @param age Its age. */
    void applyGroup(std::string_view group, DemandReport report, Duration age);

    /** @brief Applies the report of all other groups by a delegate. @param report Report. @param age Its age. */
    void applyElsewhere(DemandReport report, Duration age);

    /** @brief Sets if this host is a delegate, which gets the reports of other groups themselves. */
    void setDelegate(bool isHostDelegate) noexcept { this->isDelegate = isHostDelegate; }

    /** @brief Drops the reports of senders that have been silent for too long. */
    void dropExpired();

    /** @brief Adds up the demand of this host's group. @param own Demand of this host. @return Report. */
    [[nodiscard]] DemandReport groupReport(const DemandReport& own) const;

    /** @brief Adds up the demand of the other groups that sent reports. @return Report; no hosts without reports. */
    [[nodiscard]] DemandReport elsewhereReport() const;

    /**
     * @brief Estimates the demand of the whole fleet.
     * @param own Demand of this host.
     * @param size Number of hosts.
     * @return Demand, with hosts that do not tell theirs scaled in.
     */
    [[nodiscard]] DemandReport fleetReport(const DemandReport& own, const FleetSize& size) const;

    /** @brief Counts the hosts that were heard of late. @return Hosts, this host included. */
    [[nodiscard]] double heardHostCount() const;

    /** @brief Returns the mean age of the reports. @return Age; zero without reports. */
    [[nodiscard]] Duration age() const;

private:
    const Clock& clock;
    bool isDelegate = false;
    Entries hosts;
    Entries groups;
    Entry elsewhere;
    /** Hosts of the group that were ever heard, including those that fell silent. */
    std::map<std::string, TimePoint, std::less<>> heardHosts;
    /** Whether a report of other groups was ever heard. */
    bool hasHeardElsewhere = false;
};

} // namespace berylwing
