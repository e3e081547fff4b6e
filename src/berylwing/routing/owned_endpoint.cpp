#include "berylwing/routing/owned_endpoint.hpp"

#include <utility>

namespace berylwing {

namespace {

constexpr std::size_t kMostPlacements = 20'000;
constexpr std::size_t kMostRecentChats = 5'000;
constexpr Duration kPlacementRetention = std::chrono::hours { 3 };

} // namespace

OwnedEndpoint::OwnedEndpoint(EndpointObject object, Clock& hostClock)
    : lifecycle { static_cast<std::uint32_t>(object.coldCapacity), static_cast<std::uint32_t>(object.capacity) }
    , placements { kMostPlacements, kPlacementRetention }
    , recentChats { kMostRecentChats, kPlacementRetention }
    , freed { hostClock }
{
    this->configure(std::move(object));
}

void OwnedEndpoint::configure(EndpointObject object)
{
    this->configuration = std::move(object);
    this->lifecycle.configure(static_cast<std::uint32_t>(this->configuration.coldCapacity),
        static_cast<std::uint32_t>(this->configuration.capacity));
    if (this->configuration.leaving)
        this->lifecycle.leave();
    else
        this->lifecycle.comeBack();
}

} // namespace berylwing
