#include "berylwing/relay/observed_loads.hpp"

#include <utility>

namespace berylwing {

std::uint32_t ObservedLoads::total() const
{
    std::uint32_t sum = 0;
    for (const auto& load : this->loads)
        sum += load.inFlight;
    return sum;
}

std::uint32_t ObservedLoads::totalIn(std::string_view domain) const
{
    std::uint32_t sum = 0;
    for (const auto& load : this->loads)
        sum += load.domain == domain ? load.inFlight : 0;
    return sum;
}

void ObservedLoads::record(ObservedLoad load)
{
    std::erase_if(this->loads, [&load](const ObservedLoad& known) { return known.endpoint == load.endpoint; });
    this->loads.push_back(std::move(load));
}

} // namespace berylwing
