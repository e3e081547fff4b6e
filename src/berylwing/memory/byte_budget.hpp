#pragma once

#include "berylwing/core/enum_names.hpp"
#include <array>
#include <cstddef>
#include <functional>

namespace berylwing {

/** @brief Lists what the memory of a host is held for. */
enum class ByteKind {
    /** Buffers and state that each connection of a caller has, whatever it sends. */
    Connections,
    /** Fields of heads and trailers that were parsed. */
    Fields,
    /** Bodies of requests, read in part or as a whole. */
    Bodies,
    /** Requests that were sent ahead of the answer to the one before. */
    Pipelined,
    /** Copies of requests on their way to endpoints, and buffers for the answers. */
    Endpoints,
};

/** @brief Names of the kinds, as in metrics. */
inline constexpr EnumNames<ByteKind, 5> kByteKindNames { { "connections", "fields", "bodies", "pipelined",
    "endpoints" } };

/**
 * @brief Bytes that a host may hold for callers and for endpoints, and those that it holds.
 *
 * A part is kept free of large bodies, so that small requests are served whatever large ones hold.
 */
class ByteBudget {
    friend class ByteReservation;

    [[nodiscard]] bool tryAdd(ByteKind kind, std::size_t bytes, std::size_t limit);
    void remove(ByteKind kind, std::size_t bytes);

public:
    /** @brief Creates a budget of which nothing is used. @param limitBytes Bytes that may be held. */
    explicit ByteBudget(std::size_t limitBytes)
        : limitBytes { limitBytes }
    {
    }

    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    /** @brief Returns the bytes that may be held. @return Bytes. */
    [[nodiscard]] std::size_t limit() const noexcept { return this->limitBytes; }

    /** @brief Returns the bytes that are held. @return Bytes. */
    [[nodiscard]] std::size_t used() const noexcept { return this->usedBytes; }

    /** @brief Returns the bytes that are held for one kind. @param kind Kind. @return Bytes. */
    [[nodiscard]] std::size_t used(ByteKind kind) const noexcept { return this->usedByKind[toIndex(kind)]; }

    /** @brief Returns the bytes up to which large bodies may fill the budget. @return Bytes. */
    [[nodiscard]] std::size_t largeBodyLimit() const noexcept;

    /** @brief Checks if no large body may begin to be read. @return True while most of the budget is used. */
    [[nodiscard]] bool isUnderPressure() const noexcept { return this->hasPressure; }

    /** Called when pressure begins (true) or ends. */
    std::function<void(bool)> onPressure;

private:
    [[nodiscard]] static constexpr std::size_t toIndex(ByteKind kind) { return static_cast<std::size_t>(kind); }
    void updatePressure();

    std::size_t limitBytes;
    std::size_t usedBytes = 0;
    std::array<std::size_t, kByteKindNames.size()> usedByKind {};
    bool hasPressure = false;
};

/** @brief Part of a budget that its owner holds until it is destroyed. */
class ByteReservation {
public:
    /** @brief Creates an empty reservation. @param owningBudget Budget. @param byteKind What the bytes are held for. */
    ByteReservation(ByteBudget& owningBudget, ByteKind byteKind)
        : budget { owningBudget }
        , kind { byteKind }
    {
    }

    ~ByteReservation() { this->shrink(0); }
    ByteReservation(const ByteReservation&) = delete;
    ByteReservation& operator=(const ByteReservation&) = delete;

    /** @brief Returns the bytes held. @return Bytes. */
    [[nodiscard]] std::size_t size() const noexcept { return this->bytes; }

    /**
     * @brief Grows the reservation before its owner allocates; large ones only find room up to the limit for large
     * bodies.
     * @param newBytes Bytes to be held; fewer than before are ignored.
     * @return False if there is no room, in which case nothing changes.
     */
    [[nodiscard]] bool tryGrow(std::size_t newBytes);

    /** @brief Gives bytes back. @param newBytes Bytes still held; more than before are ignored. */
    void shrink(std::size_t newBytes);

private:
    ByteBudget& budget;
    ByteKind kind;
    std::size_t bytes = 0;
};

/** @brief Size up to which a body counts as small and is read also under pressure. */
inline constexpr std::size_t kSmallBodyBytes = 64 * 1024;

} // namespace berylwing
