#include "berylwing/gateway/gateway.hpp"
#include "berylwing/gateway/gateway_rollouts.hpp"

#include <algorithm>

namespace berylwing {

AdmissionHooks Gateway::makeAdmissionHooks()
{
    AdmissionHooks hooks;
    hooks.capacity = [this](std::string_view service) { return this->capacityOf(service); };
    hooks.fleetSize = [this] {
        return FleetSize { this->roster.groupMembers().size() + 1, this->roster.names().size() };
    };
    return hooks;
}

ServiceCapacity Gateway::capacityOf(std::string_view service) const
{
    const auto now = this->clock.now();
    const auto* traits = this->plan ? this->plan->findService(service) : nullptr;
    const bool isColdLimited = traits != nullptr && traits->coldRequestsPerSecond > 0;
    ServiceCapacity capacity;
    for (const auto& endpoint : this->directory.availableEndpoints(service)) {
        if (endpoint->record.slots == 0 || endpoint->health.isEjected(now) || (isColdLimited && endpoint->isCold(now)))
            continue;
        // A version on trial, stopped or not cleared yet does not take what the others have no room for.
        const bool isOnTrial = this->rollouts && this->rollouts->all().isOnTrial(service, endpoint->versionHash)
            && !this->rollouts->isTrialEndpoint(*endpoint);
        if (isOnTrial || (this->rollouts && this->rollouts->all().isBarred(service, endpoint->versionHash)))
            continue;
        const auto slots = static_cast<double>(endpoint->record.slots);
        const auto load = static_cast<double>(endpoint->load());
        capacity.slots += slots;
        capacity.load += load;
        capacity.freeSlots += std::max(0.0, slots - load);
    }
    return capacity;
}

} // namespace berylwing
