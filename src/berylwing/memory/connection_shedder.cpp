#include "berylwing/memory/connection_shedder.hpp"

#include <algorithm>
#include <cmath>

namespace berylwing {

namespace {

/** Time in which bytes that were moved lose half of their weight. */
constexpr double kHalfLifeMs = 500;
/** Bytes from which on a caller counts as moving; a faster one is no better than a proper one on a slow link. */
constexpr double kMovingBytes = 64 * 1024;
/** Time after which a connection that stands still weighs twice as much. */
constexpr double kStillMs = 100;

/** Orders the states by how well their connections can be spared for a descriptor; Answering ones cannot. */
int descriptorRank(CallerState state)
{
    switch (state) {
    case CallerState::Leaving:
        return 3;
    case CallerState::Idle:
        return 2;
    case CallerState::ReadingHead:
    case CallerState::ReadingBody:
        return 1;
    case CallerState::Answering:
        return 0;
    }
    return 0;
}

double decay(Duration age) { return std::exp2(-static_cast<double>(age.count()) / kHalfLifeMs); }

} // namespace

SheddableConnection::SheddableConnection(ConnectionShedder& connectionShedder)
    : shedder { connectionShedder }
    , stateSince { connectionShedder.clock.now() }
    , movedAt { this->stateSince }
{
    this->shedder.connections.push_back(*this);
    ++this->shedder.count;
}

SheddableConnection::~SheddableConnection()
{
    if (!this->isClosed)
        --this->shedder.count;
}

void SheddableConnection::enter(CallerState next)
{
    this->state = next;
    this->stateSince = this->shedder.clock.now();
    this->movedAt = this->stateSince;
    this->movedBytes = 0;
}

void SheddableConnection::recordMoved(std::size_t bytes)
{
    const auto now = this->shedder.clock.now();
    this->movedBytes = this->movedBytes * decay(now - this->movedAt) + static_cast<double>(bytes);
    this->movedAt = now;
}

bool ConnectionShedder::canClose(const SheddableConnection& connection)
{
    if (connection.isClosed || connection.state == CallerState::Answering)
        return false;
    return connection.state != CallerState::Idle || connection.isQuiet();
}

double ConnectionShedder::weightOf(const SheddableConnection& connection) const
{
    const auto stillFor = this->clock.now() - connection.movedAt;
    const auto moving = std::min(1.0, connection.movedBytes * decay(stillFor) / kMovingBytes);
    const auto still = static_cast<double>(stillFor.count()) / kStillMs;
    return static_cast<double>(connection.heldBytes()) * (1 + still) / (1 + moving);
}

void ConnectionShedder::shed(SheddableConnection& connection, ShedReason reason)
{
    if (this->onShed)
        this->onShed(reason);
    if (reason == ShedReason::Memory && connection.state == CallerState::ReadingBody) {
        connection.isEnding = true;
        connection.refuseBody();
        return;
    }
    connection.isClosed = true;
    --this->count;
    connection.close();
}

bool ConnectionShedder::shedForDescriptor(const SheddableConnection* newest)
{
    SheddableConnection* best = nullptr;
    const auto isBetter = [&best](const SheddableConnection& connection) {
        const auto rank = descriptorRank(connection.state);
        const auto bestRank = descriptorRank(best->state);
        return rank > bestRank || (rank == bestRank && connection.movedAt < best->movedAt);
    };
    for (auto& connection : this->connections) {
        // Whether one is quiet is asked of the system, so only for those that would be chosen.
        if (&connection != newest && (best == nullptr || isBetter(connection)) && canClose(connection))
            best = &connection;
    }
    if (best == nullptr)
        return false;
    this->shed(*best, ShedReason::Descriptors);
    return true;
}

ShedResult ConnectionShedder::shedForMemory(const SheddableConnection* asking)
{
    SheddableConnection* heaviest = nullptr;
    double maxWeight = 0;
    for (auto& connection : this->connections) {
        const auto weight = this->weightOf(connection);
        if (weight <= maxWeight || connection.isEnding || !canClose(connection))
            continue;
        heaviest = &connection;
        maxWeight = weight;
    }
    if (heaviest == nullptr)
        return ShedResult::None;
    if (heaviest == asking)
        return ShedResult::Self;
    this->shed(*heaviest, ShedReason::Memory);
    return ShedResult::Other;
}

} // namespace berylwing
