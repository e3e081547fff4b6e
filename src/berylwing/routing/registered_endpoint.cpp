#include "berylwing/routing/registered_endpoint.hpp"

#include <utility>

namespace berylwing {

namespace {

constexpr std::size_t kMaxPlacements = 20'000;
constexpr std::size_t kMaxRecentChats = 5'000;
constexpr Duration kPlacementTtl = std::chrono::hours { 3 };

} // namespace

RegisteredEndpoint::RegisteredEndpoint(EndpointObject object, Clock& hostClock)
    : lifecycle { static_cast<std::uint32_t>(object.coldCapacity), static_cast<std::uint32_t>(object.capacity) }
    , placements { kMaxPlacements, kPlacementTtl }
    , recentChats { kMaxRecentChats, kPlacementTtl }
    , slotFreed { hostClock }
{
    this->configure(std::move(object));
}

void RegisteredEndpoint::configure(EndpointObject object)
{
    this->configuration = std::move(object);
    this->lifecycle.configure(static_cast<std::uint32_t>(this->configuration.coldCapacity),
        static_cast<std::uint32_t>(this->configuration.capacity));
    if (this->configuration.isLeaving)
        this->lifecycle.leave();
    else
        this->lifecycle.rejoin();
}

} // namespace berylwing
