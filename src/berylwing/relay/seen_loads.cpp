#include "berylwing/relay/seen_loads.hpp"

#include <utility>

namespace berylwing {

std::uint32_t SeenLoads::total() const
{
    std::uint32_t sum = 0;
    for (const auto& load : this->loads)
        sum += load.inFlight;
    return sum;
}

std::uint32_t SeenLoads::totalOf(std::string_view domain) const
{
    std::uint32_t sum = 0;
    for (const auto& load : this->loads)
        sum += load.domain == domain ? load.inFlight : 0;
    return sum;
}

void SeenLoads::note(SeenLoad load)
{
    std::erase_if(this->loads, [&load](const SeenLoad& known) { return known.endpoint == load.endpoint; });
    this->loads.push_back(std::move(load));
}

} // namespace berylwing
