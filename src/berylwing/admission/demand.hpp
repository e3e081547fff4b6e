#pragma once

#include <cstdint>
#include <vector>

namespace berylwing {

/** @brief Urgency beyond which urgencies are not told apart. */
inline constexpr unsigned kLeastUrgency = 9;

/** @brief Work that a workspace asks of a service. */
struct WorkspaceDemand {
    /** Hash of the name. */
    std::uint32_t workspace = 0;
    /** Slots' worth of work: the time for which its requests occupy slots, as a part of the time that passes. */
    double work = 0;
};

/** @brief Work of one urgency that callers ask of a service, in slots. */
struct ClassDemand {
    unsigned urgency = 0;
    /** Requests that can be answered within their objective. */
    double fresh = 0;
    /** Requests of callers that have come back too late for that. */
    double late = 0;
    /** Requests that were told to come back. */
    double promised = 0;
    /** Largest workspaces by their part of `fresh`, sorted by workspace; the others share what remains. */
    std::vector<WorkspaceDemand> workspaces;
};

/** @brief Work that callers ask of a service. */
struct ServiceDemand {
    /** Hash of the name. */
    std::uint32_t service = 0;
    /** Work of all urgencies, in slots. */
    double total = 0;
    /** The same by urgency, sorted; empty while the service is far from its limit. */
    std::vector<ClassDemand> classes;
};

/** @brief Work that callers ask of the services through a number of hosts. */
struct DemandReport {
    /** Hosts that the report stands for. */
    std::uint32_t hosts = 1;
    /** Hosts whose demand it includes; the others do not tell theirs. */
    std::uint32_t tellingHosts = 1;
    std::vector<ServiceDemand> services;
};

} // namespace berylwing
