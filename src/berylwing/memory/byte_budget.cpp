#include "berylwing/memory/byte_budget.hpp"

#include <utility>

namespace berylwing {

namespace {

/** Share of the budget that is kept for small requests. */
constexpr std::size_t kSmallShareDivisor = 8;

} // namespace

std::size_t ByteBudget::largeBodyLimit() const noexcept
{
    return this->limitBytes - this->limitBytes / kSmallShareDivisor;
}

void ByteBudget::updatePressure()
{
    // Two marks, so that a host near one of them does not change its mind with each connection.
    const auto beginMark = this->limitBytes / 4 * 3;
    const auto endMark = this->limitBytes / 2;
    const bool isPressed = this->hasPressure ? this->usedBytes >= endMark : this->usedBytes >= beginMark;
    if (std::exchange(this->hasPressure, isPressed) != isPressed && this->onPressure)
        this->onPressure(isPressed);
}

bool ByteBudget::tryAdd(ByteKind kind, std::size_t bytes, std::size_t limit)
{
    if (this->usedBytes > limit || bytes > limit - this->usedBytes)
        return false;
    this->usedBytes += bytes;
    this->usedByKind[toIndex(kind)] += bytes;
    this->updatePressure();
    return true;
}

void ByteBudget::remove(ByteKind kind, std::size_t bytes)
{
    this->usedBytes -= bytes;
    this->usedByKind[toIndex(kind)] -= bytes;
    this->updatePressure();
}

bool ByteReservation::tryGrow(std::size_t newBytes)
{
    if (newBytes <= this->bytes)
        return true;
    const auto limit = newBytes > kSmallBodyBytes ? this->budget.largeBodyLimit() : this->budget.limit();
    if (!this->budget.tryAdd(this->kind, newBytes - this->bytes, limit))
        return false;
    this->bytes = newBytes;
    return true;
}

void ByteReservation::shrink(std::size_t newBytes)
{
    if (newBytes >= this->bytes)
        return;
    this->budget.remove(this->kind, this->bytes - newBytes);
    this->bytes = newBytes;
}

} // namespace berylwing
