#pragma once

#include "berylwing/gateway/endpoint_directory.hpp"
#include <cstdint>
#include <utility>

namespace berylwing {

/** @brief Counts a request among those in flight at an endpoint, for the lifetime of this object. */
class InFlightCounter {
public:
    /** @brief Counts a request. @param servingEndpoint Endpoint. */
    explicit InFlightCounter(GatewayEndpointPtr servingEndpoint)
        : endpoint { std::move(servingEndpoint) }
    {
        ++this->endpoint->inFlight;
    }

    ~InFlightCounter() { --this->endpoint->inFlight; }
    InFlightCounter(const InFlightCounter&) = delete;
    InFlightCounter& operator=(const InFlightCounter&) = delete;

private:
    GatewayEndpointPtr endpoint;
};

/** @brief Adds a prompt to the backlog of an endpoint until the endpoint starts to respond. */
class BacklogReservation {
public:
    /** @brief Adds a prompt. @param loadedEndpoint Endpoint. @param promptTokens Tokens that it has to process. */
    BacklogReservation(GatewayEndpointPtr loadedEndpoint, std::uint32_t promptTokens)
        : endpoint { std::move(loadedEndpoint) }
        , tokens { promptTokens }
    {
        this->endpoint->unreadTokens += this->tokens;
    }

    ~BacklogReservation() { this->release(); }
    BacklogReservation(const BacklogReservation&) = delete;
    BacklogReservation& operator=(const BacklogReservation&) = delete;

    /** @brief Removes the prompt before the end of this object's lifetime. */
    void release() { this->endpoint->unreadTokens -= std::exchange(this->tokens, 0); }

private:
    GatewayEndpointPtr endpoint;
    std::uint32_t tokens;
};

} // namespace berylwing
