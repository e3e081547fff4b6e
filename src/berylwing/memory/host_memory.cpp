#include "berylwing/memory/host_memory.hpp"

#include <utility>

namespace berylwing {

CallerHold::CallerHold(std::shared_ptr<HostMemory> memory)
    : host { std::move(memory) }
    , connection { this->host->shedder }
    , connectionBytes { this->host->budget, ByteKind::Connections }
    , fieldBytes { this->host->budget, ByteKind::Fields }
    , bodyBytes { this->host->budget, ByteKind::Bodies }
    , pipelinedBytes { this->host->budget, ByteKind::Pipelined }
    , endpointBytes { this->host->budget, ByteKind::Endpoints }
{
    this->connection.heldBytes = [this] { return this->size(); };
}

std::size_t CallerHold::size() const noexcept
{
    return this->connectionBytes.size() + this->fieldBytes.size() + this->bodyBytes.size() + this->pipelinedBytes.size()
        + this->endpointBytes.size();
}

Task<bool> CallerHold::grow(ByteReservation& reservation, std::size_t bytes)
{
    while (!reservation.tryGrow(bytes)) {
        if (this->connection.isEnding)
            co_return false;
        if (this->host->shedder.shedForMemory(&this->connection) != ShedResult::Other)
            co_return false;
        // The connection that ends gives its bytes back in its next turn.
        co_await yieldTurn();
    }
    co_return !this->connection.isEnding;
}

} // namespace berylwing
