#pragma once

#include "berylwing/admission/demand.hpp"
#include <cstdint>
#include <vector>

namespace berylwing {

/** @brief Part of its requests that a workspace above its share gets. */
struct WorkspacePart {
    /** Hash of the name. */
    std::uint32_t workspace = 0;
    double part = 1;
};

/** @brief Parts of the requests of one urgency that a service has room for. */
struct ClassShare {
    /** @brief Returns the part of a workspace's requests that is admitted. @param workspace Hash of the name. */
    [[nodiscard]] double partOf(std::uint32_t workspace) const;

    /** @brief Checks if a workspace asks for more than its share while others get all. @param workspace Hash. */
    [[nodiscard]] bool isAboveShare(std::uint32_t workspace) const;

    unsigned urgency = 0;
    /** Room for this urgency, in slots. */
    double room = 0;
    /** Part of the requests of workspaces that are not listed. */
    double othersPart = 1;
    /** Part of the requests that come back too late for their objective. */
    double latePart = 1;
    /** Whether a workspace gets all that it asks for. */
    bool isAnyServedInFull = false;
    /** Workspaces whose demand is known, sorted. */
    std::vector<WorkspacePart> workspaces;
};

/**
 * @brief Divides the room of a service between what callers ask of it.
 *
 * Urgent requests come first, but each urgency and each workspace keeps a part of what all get on average. Within an
 * urgency the workspaces get equal shares of the room, and those that ask for less leave the rest to the others.
 * Requests that come too late for their objective get the room that was promised to them and what is left. All hosts
 * that know the same demand compute the same parts.
 * @param classes Demand by urgency, sorted.
 * @param room Room of the service, in slots.
 * @return Parts by urgency, in the order of the demand.
 */
[[nodiscard]] std::vector<ClassShare> shareRoom(const std::vector<ClassDemand>& classes, double room);

/** @brief Finds the parts of an urgency. @param shares Parts. @param urgency Urgency. @return A null pointer if none.
 */
[[nodiscard]] const ClassShare* findShare(const std::vector<ClassShare>& shares, unsigned urgency);

} // namespace berylwing
