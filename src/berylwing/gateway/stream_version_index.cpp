#include "berylwing/gateway/stream_version_index.hpp"

#include <utility>

namespace berylwing {

StreamVersionIndex::StreamVersionIndex(Clock& hostClock, const HostRoster& hostRoster, Sender sender)
    : clock { hostClock }
    , roster { hostRoster }
    , send { std::move(sender) }
{
}

void StreamVersionIndex::record(std::uint64_t /*stream*/, StreamVersion /*version*/) { }

std::optional<std::uint32_t> StreamVersionIndex::find(std::uint64_t /*stream*/) const { return std::nullopt; }

Task<std::optional<std::uint32_t>> StreamVersionIndex::lookUp(std::uint64_t stream) { co_return this->find(stream); }

void StreamVersionIndex::report(bool /*isShared*/) { }

void StreamVersionIndex::receive(const HostEntry& /*sender*/, const wire::FleetMessage& /*message*/) { }

void StreamVersionIndex::removeExpired() { }

} // namespace berylwing
