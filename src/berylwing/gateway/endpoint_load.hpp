#pragma once

#include "berylwing/gateway/endpoint_directory.hpp"
#include <algorithm>
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

/** @brief Counts what a request holds and what is left of its answer at an endpoint, for the lifetime of this object.
 */
class WorkReservation {
public:
    /**
     * @brief Counts a request.
     * @param loadedEndpoint Endpoint.
     * @param maxTokens Tokens that the request may come to hold in the endpoint's memory.
     * @param expectedTokens Tokens that its answer is expected to have.
     */
    WorkReservation(GatewayEndpointPtr loadedEndpoint, std::uint32_t maxTokens, std::uint32_t expectedTokens)
        : endpoint { std::move(loadedEndpoint) }
        , held { maxTokens }
        , left { expectedTokens }
    {
        this->endpoint->heldTokens += this->held;
        this->endpoint->outputTokens += this->left;
    }

    ~WorkReservation()
    {
        this->endpoint->heldTokens -= this->held;
        this->endpoint->outputTokens -= this->left;
    }

    WorkReservation(const WorkReservation&) = delete;
    WorkReservation& operator=(const WorkReservation&) = delete;

    /** @brief Subtracts tokens that have arrived; an answer may be longer than expected. @param tokens Tokens. */
    void recordOutput(std::uint32_t tokens)
    {
        const auto done = std::min(tokens, this->left);
        this->left -= done;
        this->endpoint->outputTokens -= done;
    }

private:
    GatewayEndpointPtr endpoint;
    std::uint32_t held;
    std::uint32_t left;
};

} // namespace berylwing
